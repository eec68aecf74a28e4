package org.lockdale.gateway.reachability;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.http.Reachability;

/**
 * Connects to a random backend of each unreachable pool from time to time, so that the pool is used
 * again once its backends can be reached. Runs on one event loop.
 */
public final class ReachabilityProber {

  private final PoolReachability pools;
  private final Function<String, List<TrackedBackend>> backends;
  private final Function<InetSocketAddress, CompletableFuture<Reachability>> probe;

  /**
   * Creates a prober.
   *
   * @param pools pools to probe, notified of those that were reached
   * @param backends returns the backends of a pool that accept requests
   * @param probe determines how an address responds to a new connection
   */
  public ReachabilityProber(
      PoolReachability pools,
      Function<String, List<TrackedBackend>> backends,
      Function<InetSocketAddress, CompletableFuture<Reachability>> probe) {
    this.pools = pools;
    this.backends = backends;
    this.probe = probe;
  }

  /** Probes one backend of each unreachable pool; to be called periodically. */
  public void tick() {
    for (String pool : pools.unreachablePools()) {
      List<TrackedBackend> serving = backends.apply(pool);
      if (!serving.isEmpty()) {
        int index = ThreadLocalRandom.current().nextInt(serving.size());
        probe
            .apply(serving.get(index).backend().address())
            .thenAccept(
                reachability -> {
                  if (reachability == Reachability.ACCEPTS) {
                    pools.recordReached(pool);
                  }
                });
      }
    }
  }
}
