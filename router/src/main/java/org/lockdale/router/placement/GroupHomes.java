package org.lockdale.router.placement;

import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.router.engine.EngineView;

/**
 * The engines to which all nodes send a group of prompts: the first choices of rendezvous hashing,
 * more of them the more the group is asked for, so that none has to bear it alone. Filled for one
 * decision.
 */
final class GroupHomes {

  /** Share of the shared prefix that a home is assumed to hold. */
  private static final double HOME_CONFIDENCE = 0.95;

  /** The same for the next choice, to which all nodes turn when the homes are busy. */
  private static final double NEXT_HOME_CONFIDENCE = 0.3;

  /** Most homes of one group of prompts. */
  private static final int MAX_HOMES = 4;

  /** Homes that a group gets for each engine's fair share of requests that it makes up. */
  private static final double HOMES_PER_FAIR_SHARE = 2;

  private final long groupKey;
  private final EngineView[] ranked = new EngineView[MAX_HOMES + 1];
  private final long[] weights = new long[MAX_HOMES + 1];
  private int rankedCount;
  private int offered;
  private int homes = 1;

  GroupHomes(long groupKey) {
    this.groupKey = groupKey;
  }

  /** Offers an engine that may serve the request. */
  void offer(EngineView engine) {
    offered++;
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
   * Settles on the homes after all engines were offered. A group of many prefixes is split over its
   * homes, and only a prefix that is itself in much demand is held by several.
   *
   * @param popularity shares of the group and of the request's prefix in it
   * @param prefixKey hash of the prefix
   */
  void settle(Popularity popularity, long prefixKey) {
    int groupHomes = Math.min(homesFor(popularity.group()), rankedCount);
    for (int place = 1; place < groupHomes; place++) {
      moveForward(place, prefixKey);
    }
    homes = Math.min(homesFor(popularity.prefix()), Math.max(1, groupHomes));
  }

  private int homesFor(double share) {
    long wanted = Math.round(share * offered * HOMES_PER_FAIR_SHARE);
    return (int) Math.min(MAX_HOMES, Math.max(1, wanted));
  }

  /** One step of an insertion sort by the weight that the prefix gives. */
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

  /** Returns the share of the shared prefix that an engine is assumed to hold. */
  double confidenceIn(EngineView engine) {
    for (int rank = 0; rank < rankedCount; rank++) {
      if (ranked[rank] == engine) {
        return confidenceAt(rank);
      }
    }
    return 0;
  }

  private double confidenceAt(int rank) {
    if (rank < homes) {
      return HOME_CONFIDENCE;
    }
    return rank == homes ? NEXT_HOME_CONFIDENCE : 0;
  }
}
