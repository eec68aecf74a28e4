package org.lockdale.gateway.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.gateway.backend.BackendHealth;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Chooses a back end. Requests that share a prompt prefix go to the first back end in the prefix's
 * rendezvous order that is within the load bound, so that all nodes send them to the same engine
 * without a message. Other requests go to the least loaded back end, the node's own zone first.
 */
public final class BackendChooser {

  /** A back end may hold this share of the mean load before a prefix moves on to the next one. */
  private static final double LOAD_FACTOR = 1.5;

  /** Open requests that are always within the load bound. */
  private static final int LOAD_ALLOWANCE = 2;

  /** Load that another zone costs, in open requests. */
  private static final double REMOTE_ZONE_PENALTY = 1.0;

  /** Load that a failure rate of 1 counts for, in open requests. */
  private static final double FAILURE_PENALTY = 20.0;

  private static final double TIE_BREAK = 0.01;

  private final String zone;

  /** Creates a chooser for a node of a zone. */
  public BackendChooser(String zone) {
    this.zone = zone;
  }

  /**
   * Chooses a back end.
   *
   * @param candidates back ends that may serve the request
   * @param excluded ids of back ends that were tried already
   * @param affinityKey hash of the shared prefix, or null for none
   * @param nowMillis monotonic time
   * @return the choice, or empty where there is no candidate
   */
  public Optional<TrackedBackend> choose(
      List<TrackedBackend> candidates,
      Set<String> excluded,
      @Nullable Long affinityKey,
      long nowMillis) {
    List<TrackedBackend> usable = new ArrayList<>(candidates.size());
    List<TrackedBackend> ejected = new ArrayList<>();
    for (TrackedBackend candidate : candidates) {
      if (!excluded.contains(candidate.backend().id())) {
        (candidate.health().isEjected(nowMillis) ? ejected : usable).add(candidate);
      }
    }
    if (usable.isEmpty()) {
      // With no back end known to be sound, one that may have recovered is better than none.
      usable = ejected;
    }
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(affinityKey == null ? leastLoaded(usable) : byAffinity(usable, affinityKey));
  }

  /** Returns the first back end in the rendezvous order of a prefix, or null without candidates. */
  public static @Nullable TrackedBackend home(List<TrackedBackend> candidates, long affinityKey) {
    TrackedBackend best = null;
    for (TrackedBackend candidate : candidates) {
      boolean better =
          best == null
              || Long.compareUnsigned(
                      Rendezvous.weight(affinityKey, candidate.identity()),
                      Rendezvous.weight(affinityKey, best.identity()))
                  > 0;
      best = better ? candidate : best;
    }
    return best;
  }

  private TrackedBackend byAffinity(List<TrackedBackend> usable, long affinityKey) {
    int open = usable.stream().mapToInt(tracked -> tracked.health().openRequests()).sum();
    double bound = LOAD_FACTOR * (open + 1) / usable.size() + LOAD_ALLOWANCE;
    usable.sort(
        (left, right) ->
            Long.compareUnsigned(
                Rendezvous.weight(affinityKey, right.identity()),
                Rendezvous.weight(affinityKey, left.identity())));
    for (TrackedBackend candidate : usable) {
      if (candidate.health().openRequests() + 1 <= bound) {
        return candidate;
      }
    }
    return leastLoaded(usable);
  }

  private TrackedBackend leastLoaded(List<TrackedBackend> usable) {
    return usable.stream()
        .map(candidate -> new Ranked(candidate, costOf(candidate)))
        .min(Comparator.comparingDouble(Ranked::cost))
        .orElseThrow()
        .candidate();
  }

  private record Ranked(TrackedBackend candidate, double cost) {}

  private double costOf(TrackedBackend candidate) {
    BackendHealth health = candidate.health();
    double zoneCost = candidate.backend().zone().equals(zone) ? 0 : REMOTE_ZONE_PENALTY;
    return health.openRequests()
        + zoneCost
        + health.failureRate() * FAILURE_PENALTY
        + ThreadLocalRandom.current().nextDouble(TIE_BREAK);
  }
}
