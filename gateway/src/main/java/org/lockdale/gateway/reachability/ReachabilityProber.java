package org.lockdale.gateway.reachability;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.http.Reachability;

/**
 * Connects to backends of pools that are unreachable, so that they are used again once their
 * backends can be reached, and of pools that are silent, so that lost connections are noticed. Runs
 * on one event loop.
 */
public final class ReachabilityProber {

  private final PoolReachability pools;
  private final Function<String, List<TrackedBackend>> backends;
  private final Function<InetSocketAddress, CompletableFuture<Reachability>> probe;

  /**
   * Creates a prober.
   *
   * @param pools pools to probe, notified of the results
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

  /** Probes a random backend of each unreachable pool, and several of each silent one. */
  public void tick() {
    pools.unreachablePools().forEach(pool -> probe(pool, 1));
    pools.silentPools().forEach(pool -> probe(pool, PoolReachability.MIN_FAILED_BACKENDS));
  }

  private void probe(String pool, int count) {
    List<TrackedBackend> candidates = new ArrayList<>(backends.apply(pool));
    Collections.shuffle(candidates, ThreadLocalRandom.current());
    candidates.stream()
        .limit(count)
        .map(TrackedBackend::backend)
        .forEach(
            backend ->
                probe
                    .apply(backend.address())
                    .thenAccept(reachability -> pools.recordProbe(backend, reachability)));
  }
}
