package org.lockdale.gateway.placement;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.admission.AdmissionTerms;

/**
 * What a prompt needs of an engine, and by when.
 *
 * @param isLong whether it is a long prompt
 * @param promptTokens tokens of the whole prompt
 * @param outputTokens expected tokens of the response
 * @param objectiveMillis latency objective, in milliseconds
 * @param gapObjectiveMillis longest gap between two events that meets the objective, in
 *     milliseconds
 * @param priority priority, 0 is the most urgent; {@link Double#NaN} if unknown
 */
record RequestNeeds(
    boolean isLong,
    long promptTokens,
    long outputTokens,
    double objectiveMillis,
    double gapObjectiveMillis,
    double priority) {

  /** Gap objective assumed without terms: the strictest of the deployments of docs/LOAD.md. */
  static final double DEFAULT_GAP_OBJECTIVE_MILLIS = 300;

  /** Needs assumed without terms, as those of the short and long prompts in docs/LOAD.md. */
  private static final long DEFAULT_SHORT_OUTPUT_TOKENS = 58;

  private static final long DEFAULT_LONG_OUTPUT_TOKENS = 10;
  static final double DEFAULT_SHORT_OBJECTIVE_MILLIS = 500;
  private static final double DEFAULT_LONG_OBJECTIVE_MILLIS = 1_500;

  static RequestNeeds of(PromptPlacement prompt, @Nullable AdmissionTerms terms) {
    boolean isLong = prompt.isLong();
    if (terms == null) {
      return new RequestNeeds(
          isLong,
          prompt.tokens(),
          isLong ? DEFAULT_LONG_OUTPUT_TOKENS : DEFAULT_SHORT_OUTPUT_TOKENS,
          isLong ? DEFAULT_LONG_OBJECTIVE_MILLIS : DEFAULT_SHORT_OBJECTIVE_MILLIS,
          DEFAULT_GAP_OBJECTIVE_MILLIS,
          Double.NaN);
    }
    return new RequestNeeds(
        isLong,
        prompt.tokens(),
        Math.max(1, terms.outputTokens()),
        Math.max(1, terms.objectiveMillis()),
        Math.max(1, terms.gapObjectiveMillis()),
        terms.priority());
  }
}
