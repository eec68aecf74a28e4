package org.lockdale.gateway.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.placement.Rendezvous;

/**
 * Ranks engines for the division: the slowest first, as a chunk of a long prompt on a slow engine
 * makes the longest pauses. Among equally fast ones the zones take turns, so that each zone has
 * engines of both kinds; within a zone the rendezvous rank decides, so that all nodes agree. Keeps
 * the latest ranking, since engines and speeds seldom change between two decisions. Thread-safe.
 */
final class EngineRanking {

  private static final long RANKING_KEY = 0x5F3759DFL;

  /** Bits of a sort key that hold an index; pools have far fewer engines. */
  private static final int INDEX_BITS = 16;

  private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;

  /** Speeds are multiples of a quarter, so that this makes them whole numbers. */
  private static final int STEPS_PER_SPEED = 4;

  private record Group(double speedStep, String zone) {}

  /** A ranking: the engines and speeds that it was made for, and the indices in the new order. */
  private record Ranking(List<EngineState> engines, int[] order) {

    boolean isOf(List<EngineState> others) {
      if (engines.size() != others.size()) {
        return false;
      }
      for (int index = 0; index < engines.size(); index++) {
        EngineState one = engines.get(index);
        EngineState other = others.get(index);
        if (one.engine() != other.engine() || one.speedStep() != other.speedStep()) {
          return false;
        }
      }
      return true;
    }
  }

  private volatile Ranking latest = new Ranking(List.of(), new int[0]);

  /** Returns the engines in the order of their ranks. */
  List<EngineState> rank(List<EngineState> engines) {
    Ranking ranking = latest;
    if (!ranking.isOf(engines)) {
      ranking = new Ranking(List.copyOf(engines), order(engines));
      latest = ranking;
    }
    List<EngineState> ranked = new ArrayList<>(engines.size());
    for (int index : ranking.order()) {
      ranked.add(engines.get(index));
    }
    return ranked;
  }

  private static int[] order(List<EngineState> engines) {
    int count = engines.size();
    long[] keys = new long[count];
    for (int index = 0; index < count; index++) {
      long rank = Rendezvous.weight(RANKING_KEY, engines.get(index).engine().identity());
      keys[index] = (rank ^ Long.MIN_VALUE) & ~INDEX_MASK | index;
    }
    Arrays.sort(keys);
    Map<Group, Integer> turns = new HashMap<>();
    for (int place = 0; place < count; place++) {
      int index = (int) (keys[place] & INDEX_MASK);
      EngineState state = engines.get(index);
      Group group = new Group(state.speedStep(), state.engine().backend().zone());
      long turn = turns.merge(group, 1, Integer::sum);
      long speed = Math.min(INDEX_MASK >> 1, Math.round(state.speedStep() * STEPS_PER_SPEED));
      keys[place] = ((speed << INDEX_BITS | turn) << INDEX_BITS | place) << INDEX_BITS | index;
    }
    Arrays.sort(keys);
    int[] order = new int[count];
    for (int place = 0; place < count; place++) {
      order[place] = (int) (keys[place] & INDEX_MASK);
    }
    return order;
  }

  /** Returns how many of the ranked engines a share of their speeds covers. */
  static int count(List<EngineState> ranked, double share) {
    double[] speeds = new double[ranked.size()];
    for (int index = 0; index < speeds.length; index++) {
      speeds[index] = ranked.get(index).speedStep();
    }
    return EngineDivision.count(speeds, share);
  }
}
