package org.lockdale.gateway.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.lease.Lease;
import org.lockdale.coordination.lease.LeaseReading;
import org.lockdale.coordination.lease.LeaseRow;
import org.lockdale.coordination.time.SystemTime;
import org.lockdale.gateway.cluster.RelayElection;
import org.lockdale.gateway.table.StoreClock;
import org.lockdale.gateway.weights.TargetWeights;
import org.lockdale.gateway.weights.WeightsPolicy;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * After a suspension of the machine, cached state is older than the steady clock shows. Everything
 * that depends on its age must account for the suspension at the first reading of the clock.
 */
public final class SuspensionTest {

  private static final long NANOS = 1_000_000;
  private static final long SUSPENDED_MILLIS = 5_000;
  private static final long STORE_AHEAD_MILLIS = 100_000;
  private static final String MODEL = "model";

  private long steadyMillis;
  private long wallMillis;
  private SystemTime time;

  @BeforeMethod
  public void start() {
    steadyMillis = 50_000;
    wallMillis = 9_000_000;
    time = SystemTime.of(() -> steadyMillis * NANOS, () -> wallMillis);
    pass(10);
  }

  private void pass(long millis) {
    steadyMillis += millis;
    wallMillis += millis;
  }

  /** Simulates a suspension: the steady clock stops; one millisecond passes before it is read. */
  private long wake() {
    wallMillis += SUSPENDED_MILLIS;
    pass(1);
    return time.monotonicMillis();
  }

  @Test
  public void theProofOfTheConfigurationHasAged() {
    Section<String> configuration = new Section<>("none");
    configuration.publish("keys", time.monotonicMillis());
    assertTrue(configuration.snapshot().ageMillis(wake()) >= SUSPENDED_MILLIS);
  }

  @Test
  public void aLeaseThatExpiredDuringTheSuspensionPermitsNothing() {
    Lease lease = new Lease("self", 1_500, 3_000);
    long now = time.monotonicMillis();
    LeaseRow row = new LeaseRow("self", STORE_AHEAD_MILLIS + 1_500);
    lease.recordWrite(new LeaseReading(row, 1, STORE_AHEAD_MILLIS), now);
    assertTrue(lease.mayAct(now));
    assertFalse(lease.mayAct(wake()));
  }

  @Test
  public void aProofOfTheStoresClockIsNotDatedTooLate() {
    StoreClock clock = new StoreClock();
    long requestedAt = time.monotonicMillis();
    clock.observe(STORE_AHEAD_MILLIS, requestedAt);
    long now = wake();
    assertTrue(now - clock.localMillis(STORE_AHEAD_MILLIS) >= SUSPENDED_MILLIS);
    // The store's clock kept running, so later responses agree with the earlier offset.
    clock.observe(STORE_AHEAD_MILLIS + SUSPENDED_MILLIS + 1, now);
    assertEquals(clock.localMillis(STORE_AHEAD_MILLIS + SUSPENDED_MILLIS + 1), now);
  }

  @Test
  public void targetVersionsSetBeforeTheSuspensionAreRequired() {
    TargetWeights targets = TargetWeights.NONE.with(Map.of(MODEL, 2L), time.monotonicMillis());
    WeightsPolicy policy = new WeightsPolicy(SUSPENDED_MILLIS);
    assertNull(policy.requiredVersion(targets, MODEL, time.monotonicMillis()));
    assertEquals(policy.requiredVersion(targets, MODEL, wake()), Long.valueOf(2));
  }

  @Test
  public void relaysWithoutRecentHeartbeatsAreNotUsed() {
    RelayElection election = new RelayElection("self", 2_000);
    long now = time.monotonicMillis();
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    election.onHeartbeat("relay", address, 1, now, now);
    assertEquals(election.relays(now).size(), 1);
    assertTrue(election.relays(wake()).isEmpty());
  }

  @Test
  public void theIdleTimeOfAConnectionExcludesTheSuspension() {
    long receivedAt = time.steadyMillis();
    wake();
    assertEquals(time.steadyMillis() - receivedAt, 1);
  }
}
