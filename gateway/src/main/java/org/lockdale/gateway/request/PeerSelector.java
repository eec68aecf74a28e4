package org.lockdale.gateway.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.cluster.PeerNode;

/**
 * Selects the nodes to which this node forwards requests that it can't send to any backend itself.
 * Nodes that could not serve a pool a moment ago are left out for a while. Thread-safe.
 */
public final class PeerSelector {

  /**
   * How long a node is left out. A node that has lost its links too would otherwise be asked for
   * each request.
   */
  private static final long EXCLUSION_MILLIS = 1_000;

  private record Exclusion(String pool, String node) {}

  private final Supplier<List<PeerNode>> peers;
  private final Time time;
  private final Map<Exclusion, Long> excludedUntil = new ConcurrentHashMap<>();

  /**
   * Creates a selector.
   *
   * @param peers supplies the other nodes
   * @param time clock
   */
  public PeerSelector(Supplier<List<PeerNode>> peers, Time time) {
    this.peers = peers;
    this.time = time;
  }

  /**
   * Returns a random node that may be able to serve a pool.
   *
   * @param pool name of the pool
   * @param tried ids of nodes that are not returned
   */
  Optional<PeerNode> select(String pool, Set<String> tried) {
    long now = time.steadyMillis();
    List<PeerNode> candidates =
        peers.get().stream()
            .filter(peer -> !tried.contains(peer.id()))
            .filter(peer -> now >= excludedUntil.getOrDefault(exclusion(pool, peer), now))
            .toList();
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(ThreadLocalRandom.current().nextInt(candidates.size())));
  }

  /** Leaves a node out for a while, since it could not serve a request for a pool. */
  void exclude(String pool, PeerNode peer) {
    excludedUntil.put(exclusion(pool, peer), time.steadyMillis() + EXCLUSION_MILLIS);
  }

  /** Ends the exclusion of a node that has served a request for a pool. */
  void include(String pool, PeerNode peer) {
    excludedUntil.remove(exclusion(pool, peer));
  }

  private static Exclusion exclusion(String pool, PeerNode peer) {
    return new Exclusion(pool, peer.id());
  }
}
