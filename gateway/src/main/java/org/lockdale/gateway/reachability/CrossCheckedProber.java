package org.lockdale.gateway.reachability;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.Supplier;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.http.Reachability;

/**
 * Determines whether a process listens at the address of a backend. A refused connection shows that
 * it does not, unless this node can't connect to the other backends of the pool either: its links
 * are then more likely to be cut than several backends to have crashed.
 */
public final class CrossCheckedProber {

  /** Number of other backends that are probed before a refusal counts. */
  private static final int CROSS_CHECKS = 3;

  private final PoolReachability pools;
  private final Supplier<BackendTable> backends;
  private final Function<InetSocketAddress, CompletableFuture<Reachability>> probe;

  /**
   * Creates a prober.
   *
   * @param pools notified of the results
   * @param backends supplies the known backends
   * @param probe determines how an address responds to a new connection
   */
  public CrossCheckedProber(
      PoolReachability pools,
      Supplier<BackendTable> backends,
      Function<InetSocketAddress, CompletableFuture<Reachability>> probe) {
    this.pools = pools;
    this.backends = backends;
    this.probe = probe;
  }

  /**
   * Determines how an address responds to a new connection.
   *
   * @return {@link Reachability#UNKNOWN} instead of a refusal that may be due to this node's links
   */
  public CompletableFuture<Reachability> probe(InetSocketAddress address) {
    Optional<Backend> backend =
        backends.get().all().stream()
            .map(TrackedBackend::backend)
            .filter(each -> each.address().equals(address))
            .findFirst();
    return backend.isEmpty()
        ? probe.apply(address)
        : probeAndRecord(backend.get())
            .thenCompose(reachability -> crossCheck(backend.get(), reachability));
  }

  private CompletableFuture<Reachability> probeAndRecord(Backend backend) {
    return probe
        .apply(backend.address())
        .thenApply(
            reachability -> {
              pools.recordProbe(backend, reachability);
              return reachability;
            });
  }

  private CompletableFuture<Reachability> crossCheck(Backend backend, Reachability reachability) {
    boolean isConclusive =
        reachability == Reachability.ACCEPTS || !pools.isUnreachable(backend.pool());
    if (isConclusive) {
      return CompletableFuture.completedFuture(reachability);
    }
    List<CompletableFuture<Reachability>> checks =
        othersInPoolOf(backend).stream().map(this::probeAndRecord).toList();
    return CompletableFuture.allOf(checks.toArray(CompletableFuture[]::new))
        .thenApply(
            all ->
                checks.stream().anyMatch(check -> check.join() == Reachability.ACCEPTS)
                    ? reachability
                    : Reachability.UNKNOWN);
  }

  private List<Backend> othersInPoolOf(Backend backend) {
    List<TrackedBackend> others = new ArrayList<>(backends.get().ofPool(backend.pool()));
    others.removeIf(each -> each.backend().equals(backend) || !each.isServing());
    Collections.shuffle(others, ThreadLocalRandom.current());
    return others.stream().limit(CROSS_CHECKS).map(TrackedBackend::backend).toList();
  }
}
