package org.lockdale.router.placement;

import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.router.engine.EngineView;

/**
 * The home engines of a group of prompts, to which all nodes send the group's requests. They are
 * the first engines in the order of rendezvous hashing. A group with a larger share of the requests
 * has more homes, so that no single engine has to serve it all. Built for one decision.
 */
final class GroupHomes {

  /** Fraction of the shared prefix that a home is assumed to hold. */
  private static final double HOME_CONFIDENCE = 0.95;

  /** The same for the next engine in order, which all nodes choose when the homes are busy. */
  private static final double NEXT_HOME_CONFIDENCE = 0.3;

  /** Maximum number of homes of a group. */
  private static final int MAX_HOMES = 4;

  /** Number of homes per fair share of requests, which is 1 divided by the number of candidates. */
  private static final double HOMES_PER_FAIR_SHARE = 2;

  private final long groupKey;
  private final EngineView[] ranked = new EngineView[MAX_HOMES + 1];
  private final long[] weights = new long[MAX_HOMES + 1];
  private int rankedCount;
  private int candidateCount;
  private int homeCount = 1;

  GroupHomes(long groupKey) {
    this.groupKey = groupKey;
  }

  /** Adds an engine that may serve the request. */
  void addCandidate(EngineView engine) {
    candidateCount++;
    long weight = Rendezvous.weight(groupKey, engine.identity());
    int place = rankedCount;
    while (place > 0 && Long.compareUnsigned(weight, weights[place - 1]) > 0) {
      place--;
    }
    if (place == ranked.length) {
      return;
    }
    int last = Math.min(rankedCount, ranked.length - 1);
    System.arraycopy(ranked, place, ranked, place + 1, last - place);
    System.arraycopy(weights, place, weights, place + 1, last - place);
    ranked[place] = engine;
    weights[place] = weight;
    rankedCount = Math.min(rankedCount + 1, ranked.length);
  }

  /**
   * Selects the homes after all candidates were added. The prefixes of a group are spread over its
   * homes, and only a prefix that is itself popular is held by several.
   *
   * @param popularity shares of the group and of the request's prefix in it
   * @param prefixKey hash of the request's deepest prefix that was seen before
   */
  void select(Popularity popularity, long prefixKey) {
    int groupHomes = Math.min(homeCountFor(popularity.group()), rankedCount);
    for (int place = 1; place < groupHomes; place++) {
      moveForward(place, prefixKey);
    }
    homeCount = Math.min(homeCountFor(popularity.prefix()), Math.max(1, groupHomes));
  }

  private int homeCountFor(double share) {
    long count = Math.round(share * candidateCount * HOMES_PER_FAIR_SHARE);
    return (int) Math.min(MAX_HOMES, Math.max(1, count));
  }

  /**
   * Moves an engine to its place among those before it, by their rendezvous weights for the prefix.
   */
  private void moveForward(int from, long prefixKey) {
    EngineView moved = ranked[from];
    long weight = Rendezvous.weight(prefixKey, moved.identity());
    int target = from;
    while (target > 0) {
      long ahead = Rendezvous.weight(prefixKey, ranked[target - 1].identity());
      if (Long.compareUnsigned(weight, ahead) <= 0) {
        break;
      }
      ranked[target] = ranked[target - 1];
      target--;
    }
    ranked[target] = moved;
  }

  /** Returns the fraction of the shared prefix that an engine is assumed to hold. */
  double confidenceIn(EngineView engine) {
    for (int rank = 0; rank < rankedCount; rank++) {
      if (ranked[rank] == engine) {
        return confidenceAt(rank);
      }
    }
    return 0;
  }

  private double confidenceAt(int rank) {
    if (rank < homeCount) {
      return HOME_CONFIDENCE;
    }
    return rank == homeCount ? NEXT_HOME_CONFIDENCE : 0;
  }
}
