package org.lockdale.gateway.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Exponential moving averages of the prompt lengths of each pool, from which the share of engines
 * preferred for short prompts follows. Safe for use by several threads.
 */
final class PromptLengthMix {

  /** Weight of the newest prompt in the averages. */
  private static final double SMOOTHING_FACTOR = 0.02;

  private static final double MIN_ENGINE_SHARE = 0.2;
  private static final double MAX_ENGINE_SHARE = 0.5;

  /**
   * Share of requests, 0 to 1, that short and long prompts must each exceed. Below it there is too
   * little of one kind for separate engines to be of use.
   */
  private static final double MIN_MINORITY_SHARE = 0.02;

  private static final class Averages {
    double shortTokens;
    double longTokens;
    double shortRequestShare = 0.5;
  }

  private final Map<String, Averages> byPool = new HashMap<>();

  /**
   * Records a prompt and returns the share of engines that short prompts of its pool need, 0 to 1.
   * It is 0 where nearly all prompts are of one kind, so that the engines are not split.
   */
  synchronized double recordAndGetShortShare(String pool, PromptPlacement prompt) {
    Averages averages = byPool.computeIfAbsent(pool, name -> new Averages());
    double isShort = prompt.isLong() ? 0 : 1;
    averages.shortRequestShare = smoothed(averages.shortRequestShare, isShort);
    averages.shortTokens = smoothed(averages.shortTokens, isShort * prompt.tokens());
    averages.longTokens = smoothed(averages.longTokens, (1 - isShort) * prompt.tokens());
    boolean mixed =
        averages.shortRequestShare > MIN_MINORITY_SHARE
            && averages.shortRequestShare < 1 - MIN_MINORITY_SHARE;
    if (!mixed) {
      return 0;
    }
    double share = averages.shortTokens / (averages.shortTokens + averages.longTokens);
    return Math.max(MIN_ENGINE_SHARE, Math.min(MAX_ENGINE_SHARE, share));
  }

  private static double smoothed(double average, double value) {
    return average + (value - average) * SMOOTHING_FACTOR;
  }
}
