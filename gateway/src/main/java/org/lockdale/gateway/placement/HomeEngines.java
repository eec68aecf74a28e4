package org.lockdale.gateway.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Assigns shared prompt parts to home engines by weighted rendezvous hashing. A part whose prompts
 * are too much work for one engine has several home engines, in the order of their scores. Safe for
 * use by several threads.
 */
final class HomeEngines {

  /** Time after which the work of a part counts 1/e, in milliseconds. */
  private static final double DECAY_MILLIS = 3_000;

  /** Bounds the memory; parts beyond it count as having little work. */
  private static final int MAX_PARTS = 4_096;

  /**
   * Utilization of a home engine by one part from which the part gets another home. The engine has
   * other prompts to compute as well.
   */
  private static final double MAX_UTILIZATION = 0.5;

  private record Key(String pool, boolean isLong, long affinityKey) {}

  private static final class Work {
    double millis;
    long atMillis;

    void add(double more, long nowMillis) {
      millis = at(nowMillis) + more;
      atMillis = nowMillis;
    }

    double at(long nowMillis) {
      return millis * Math.exp(-Math.max(0, nowMillis - atMillis) / DECAY_MILLIS);
    }
  }

  private final Map<Key, Work> byPart = new HashMap<>();

  /** Records the work of a placed prompt, in milliseconds of an engine. */
  synchronized void record(String pool, PromptPlacement prompt, double workMillis, long now) {
    Key key = new Key(pool, prompt.isLong(), prompt.affinityKey());
    if (!byPart.containsKey(key) && byPart.size() >= MAX_PARTS) {
      byPart.values().removeIf(work -> work.at(now) < 1);
    }
    if (byPart.containsKey(key) || byPart.size() < MAX_PARTS) {
      byPart.computeIfAbsent(key, part -> new Work()).add(workMillis, now);
    }
  }

  /**
   * Returns the number of home engines of a prompt's shared part.
   *
   * @param engines number of engines preferred for prompts of its kind
   */
  synchronized int count(String pool, PromptPlacement prompt, int engines, long now) {
    Work part = byPart.get(new Key(pool, prompt.isLong(), prompt.affinityKey()));
    if (part == null) {
      return 1;
    }
    double utilization = part.at(now) / DECAY_MILLIS;
    return (int) Math.max(1, Math.min(engines, Math.ceil(utilization / MAX_UTILIZATION)));
  }

  /** Returns the engines with the highest scores for a key, weighted by their speeds. */
  static Set<TrackedBackend> highest(List<EngineState> engines, long affinityKey, int count) {
    if (count > 1) {
      List<EngineState> ranked = new ArrayList<>(engines);
      ranked.sort(Comparator.comparingDouble(engine -> -score(engine, affinityKey)));
      Set<TrackedBackend> homes = new HashSet<>();
      ranked.subList(0, Math.min(count, ranked.size())).forEach(home -> homes.add(home.engine()));
      return homes;
    }
    EngineState best = null;
    double bestScore = 0;
    for (EngineState engine : engines) {
      double score = score(engine, affinityKey);
      if (best == null || score > bestScore) {
        best = engine;
        bestScore = score;
      }
    }
    return best == null ? Set.of() : Set.of(best.engine());
  }

  private static double score(EngineState engine, long affinityKey) {
    return Rendezvous.weightedScore(affinityKey, engine.engine().identity(), engine.speedStep());
  }
}
