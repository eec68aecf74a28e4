package org.lockdale.gateway.reachability;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.http.Reachability;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that cut links are not taken for crashed backends. */
public final class CrossCheckedProberTest {

  private static final String POOL = "pool";
  private static final int BACKENDS = 8;
  private static final int CRASHED = 3;

  private final Set<Integer> refusing = new HashSet<>();
  private CrossCheckedProber prober;

  @BeforeMethod
  public void start() {
    refusing.clear();
    List<Backend> records = IntStream.range(0, BACKENDS).mapToObj(this::backend).toList();
    BackendTable table = BackendTable.EMPTY.with(records);
    prober =
        new CrossCheckedProber(
            new PoolReachability(pool -> BACKENDS, pool -> {}, new VirtualTime()),
            () -> table,
            address ->
                CompletableFuture.completedFuture(
                    refusing.contains(address.getPort())
                        ? Reachability.REFUSES
                        : Reachability.ACCEPTS));
  }

  private static InetSocketAddress address(int index) {
    return InetSocketAddress.createUnresolved("backend", index);
  }

  private Backend backend(int index) {
    return new Backend("i-" + index, POOL, address(index), "zone", 4, false, Map.of());
  }

  private Reachability probe(int index) {
    return prober.probe(address(index)).join();
  }

  @Test
  public void aRefusalOfOneBackendShowsThatItHasCrashed() {
    refusing.add(0);
    assertEquals(probe(0), Reachability.REFUSES);
    assertEquals(probe(1), Reachability.ACCEPTS);
  }

  @Test
  public void refusalsOfAllBackendsAreInconclusive() {
    IntStream.range(0, BACKENDS).forEach(refusing::add);
    probe(0);
    probe(1);
    for (int index = 2; index < BACKENDS; index++) {
      assertEquals(probe(index), Reachability.UNKNOWN);
    }
  }

  @Test
  public void backendsThatCrashOneAfterTheOtherAreFoundWhileOthersAcceptConnections() {
    for (int index = 0; index < CRASHED; index++) {
      refusing.add(index);
      assertEquals(probe(index), Reachability.REFUSES, "backend " + index);
    }
  }

  @Test
  public void anAddressWithoutARecordIsProbedAsBefore() {
    refusing.add(BACKENDS + 1);
    assertEquals(probe(BACKENDS + 1), Reachability.REFUSES);
  }
}
