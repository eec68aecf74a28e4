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
   * Shares for deployments that protect short prompts: a short prompt takes little computation but
   * decodes for long, so that the share of its tokens understates the engines that it needs.
   */
  private static final double MIN_PROTECTED_SHARE = 0.35;

  private static final double MAX_PROTECTED_SHARE = 0.6;

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

  private final double minShare;
  private final double maxShare;
  private final Map<String, Averages> byPool = new HashMap<>();

  /**
   * Creates averages without any prompt.
   *
   * @param protectsShort whether short prompts get a larger share of the engines
   */
  PromptLengthMix(boolean protectsShort) {
    minShare = protectsShort ? MIN_PROTECTED_SHARE : MIN_ENGINE_SHARE;
    maxShare = protectsShort ? MAX_PROTECTED_SHARE : MAX_ENGINE_SHARE;
  }

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
    return Math.max(minShare, Math.min(maxShare, share));
  }

  private static double smoothed(double average, double value) {
    return average + (value - average) * SMOOTHING_FACTOR;
  }
}
