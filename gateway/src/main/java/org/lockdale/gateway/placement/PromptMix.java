package org.lockdale.gateway.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Share of the prompt tokens of each pool that belong to short prompts, newer requests weighing
 * more. Safe for use by several threads.
 */
final class PromptMix {

  private static final double NEWEST_WEIGHT = 0.02;
  private static final double LEAST_SHARE = 0.2;
  private static final double MOST_SHARE = 0.5;

  /** Below this share of requests of either kind there is nothing to be kept apart. */
  private static final double NEGLIGIBLE = 0.02;

  private static final class Averages {
    double shortTokens;
    double longTokens;
    double shortRequests = 0.5;
  }

  private final Map<String, Averages> byPool = new HashMap<>();

  /** Notes a prompt and returns the share of engines that short prompts of its pool need. */
  synchronized double shareAfter(String pool, PromptPlacement prompt) {
    Averages averages = byPool.computeIfAbsent(pool, name -> new Averages());
    double isShort = prompt.isLong() ? 0 : 1;
    averages.shortRequests = moved(averages.shortRequests, isShort);
    averages.shortTokens = moved(averages.shortTokens, isShort * prompt.tokens());
    averages.longTokens = moved(averages.longTokens, (1 - isShort) * prompt.tokens());
    boolean mixed = averages.shortRequests > NEGLIGIBLE && averages.shortRequests < 1 - NEGLIGIBLE;
    if (!mixed) {
      return 0;
    }
    double share = averages.shortTokens / (averages.shortTokens + averages.longTokens);
    return Math.max(LEAST_SHARE, Math.min(MOST_SHARE, share));
  }

  private static double moved(double average, double value) {
    return average + (value - average) * NEWEST_WEIGHT;
  }
}
