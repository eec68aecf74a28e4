package org.lockdale.gateway.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.lockdale.gateway.backend.Backend;
import org.testng.annotations.Test;

/** Records that expired while the store was unreachable are retained for a limited time. */
public final class ExpiredBackendsTest {

  private static final long OUTAGE = 1_000;

  /** Monotonic time of the first proof after the outage. */
  private static final long BACK_AT = 10_000;

  private final Backend one = backend("i-1", false);
  private final Backend two = backend("i-2", false);

  private static Backend backend(String id, boolean draining) {
    InetSocketAddress address = InetSocketAddress.createUnresolved("server", 1);
    return new Backend(id, "pool", address, "zone-a", 4, draining, Map.of());
  }

  private static Set<String> ids(List<Backend> backends) {
    return backends.stream().map(Backend::id).collect(Collectors.toSet());
  }

  private static List<Backend> merge(
      ExpiredBackends expired, List<Backend> before, List<Backend> read, long nowMillis) {
    return expired.merge(before, read, ids(read), nowMillis);
  }

  private static ExpiredBackends afterAnOutage() {
    ExpiredBackends expired = new ExpiredBackends(OUTAGE);
    proveAt(expired, BACK_AT - OUTAGE - 1);
    expired.onUnreachable();
    proveAt(expired, BACK_AT);
    return expired;
  }

  private static void proveAt(ExpiredBackends expired, long atMillis) {
    expired.onProof(atMillis, atMillis);
  }

  /** Guards against sending for 1.8 s more to a server that drained while the node had no relay. */
  @Test
  public void missingRecordsAreNotRetainedAfterATimeWithoutRelays() {
    ExpiredBackends expired = new ExpiredBackends(OUTAGE);
    proveAt(expired, BACK_AT - OUTAGE - 1);
    proveAt(expired, BACK_AT);
    assertEquals(ids(merge(expired, List.of(one, two), List.of(one), BACK_AT)), Set.of("i-1"));
  }

  @Test
  public void anOldProofFromARelayIndicatesAnOutage() {
    ExpiredBackends expired = new ExpiredBackends(OUTAGE);
    long last = BACK_AT - 2 * OUTAGE;
    expired.onProof(last, last);
    expired.onProof(last, last + OUTAGE + 1);
    proveAt(expired, BACK_AT);
    assertEquals(ids(merge(expired, List.of(one), List.of(), BACK_AT)), Set.of("i-1"));
  }

  @Test
  public void aFailureBeforeTheLastProofIndicatesNoOutage() {
    ExpiredBackends expired = new ExpiredBackends(OUTAGE);
    expired.onUnreachable();
    proveAt(expired, BACK_AT - OUTAGE - 1);
    proveAt(expired, BACK_AT);
    assertEquals(merge(expired, List.of(one), List.of(), BACK_AT), List.of());
  }

  @Test
  public void missingRecordsAreRetainedForATimeAfterAnOutage() {
    ExpiredBackends expired = afterAnOutage();
    long end = expired.retentionEndsAtMillis();
    assertEquals(ids(merge(expired, List.of(one, two), List.of(), BACK_AT)), Set.of("i-1", "i-2"));
    assertTrue(expired.hasRetained());
    assertEquals(
        ids(merge(expired, List.of(one, two), List.of(one), end - 1)), Set.of("i-1", "i-2"));
    assertEquals(ids(merge(expired, List.of(one, two), List.of(one), end)), Set.of("i-1"));
    assertFalse(expired.hasRetained());
  }

  @Test
  public void recordsRemovedWhileTheStoreIsReachableAreNotRetained() {
    ExpiredBackends expired = new ExpiredBackends(OUTAGE);
    proveAt(expired, BACK_AT - OUTAGE);
    expired.onUnreachable();
    proveAt(expired, BACK_AT);
    assertEquals(ids(merge(expired, List.of(one, two), List.of(one), BACK_AT)), Set.of("i-1"));
  }

  @Test
  public void theFirstProofDoesNotEndAnOutage() {
    ExpiredBackends expired = new ExpiredBackends(OUTAGE);
    expired.onUnreachable();
    proveAt(expired, BACK_AT);
    assertEquals(merge(expired, List.of(one), List.of(), BACK_AT), List.of());
  }

  @Test
  public void aDrainingBackendIsNotRetained() {
    Backend draining = backend("i-3", true);
    assertEquals(merge(afterAnOutage(), List.of(draining), List.of(), BACK_AT), List.of());
  }

  @Test
  public void anOlderProofChangesNothing() {
    ExpiredBackends expired = afterAnOutage();
    long end = expired.retentionEndsAtMillis();
    expired.onProof(BACK_AT - OUTAGE / 2, BACK_AT);
    proveAt(expired, BACK_AT + OUTAGE / 2);
    assertEquals(expired.retentionEndsAtMillis(), end);
  }

  /** A server that restarted during the outage has the same server id and a new start time. */
  @Test
  public void anEarlierIncarnationIsNotRetainedBesideTheNextOne() {
    Backend earlier = backend("i-1@100", false);
    Backend next = backend("i-1@200", false);
    List<Backend> merged =
        afterAnOutage().merge(List.of(earlier), List.of(next), Set.of("i-1"), BACK_AT);
    assertEquals(ids(merged), Set.of("i-1@200"));
  }

  @Test
  public void aServerWithAnUnreadableRowHasNotExpired() {
    assertEquals(afterAnOutage().merge(List.of(one), List.of(), Set.of("i-1"), BACK_AT), List.of());
  }
}
