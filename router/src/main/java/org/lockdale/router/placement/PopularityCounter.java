package org.lockdale.router.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.lockdale.coordination.placement.PrefixChain;

/**
 * Shares of groups of prompts and of prefixes in this node's requests, from counts that decay
 * exponentially. Bounded: the least recently requested ones are dropped. Safe for use by several
 * threads.
 */
public final class PopularityCounter {

  private static final double HALF_LIFE_MILLIS = 10_000;
  private static final int MAX_COUNTS = 4_096;

  private static final class Count {
    double value;
    long updatedAtMillis;
  }

  private final Map<Long, Count> counts =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Count> eldest) {
          return size() > MAX_COUNTS;
        }
      };
  private final Count total = new Count();

  /**
   * Counts a request in its group and its deepest prefix that was seen before, and returns their
   * shares.
   */
  public synchronized Popularity count(PrefixChain chain, PrefixMatch match, long nowMillis) {
    decayAndIncrement(total, nowMillis);
    long groupKey = EngineChooser.groupKeyOf(chain);
    double group = increment(groupKey, nowMillis);
    boolean isDeeper = match.seenDepth() > 0 && match.seenHash() != groupKey;
    double prefix = isDeeper ? increment(match.seenHash(), nowMillis) : group;
    return new Popularity(group / total.value, prefix / total.value);
  }

  private double increment(long key, long nowMillis) {
    Count count = counts.computeIfAbsent(key, absent -> new Count());
    decayAndIncrement(count, nowMillis);
    return count.value;
  }

  private static void decayAndIncrement(Count count, long nowMillis) {
    double decayed =
        count.value * Math.pow(0.5, (nowMillis - count.updatedAtMillis) / HALF_LIFE_MILLIS);
    count.value = decayed + 1;
    count.updatedAtMillis = nowMillis;
  }
}
