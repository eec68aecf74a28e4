package org.lockdale.gateway.placement;

import java.util.function.DoubleConsumer;

/**
 * Demand of the short and long prompts of one pool, as decayed sums over the placements of this
 * decider, and the division of engines that follows from it. Safe for use by several threads.
 */
final class PoolDemand {

  /**
   * Time after which a prompt counts 1/e, in milliseconds. Changes of the load last 3 s and more.
   */
  private static final double DECAY_MILLIS = 3_000;

  /** Prompts before the first division, enough to tell the ratio of both kinds. */
  private static final int MIN_PROMPTS = 20;

  /** Share of prompts that each kind must exceed before the engines are divided. */
  private static final double MIN_MINORITY_SHARE = 0.02;

  /** Lengths assumed while no prompt of the kind was placed, as in docs/LOAD.md. */
  private static final double DEFAULT_SHORT_TOKENS = 826;

  private static final double DEFAULT_LONG_TOKENS = 9_190;
  private static final double DEFAULT_LONG_COMPUTED_TOKENS = 2_890;

  /**
   * Averages of the demand.
   *
   * @param shortTokens mean tokens of a short prompt
   * @param shortComputedTokens mean tokens of a short prompt that are computed
   * @param longTokens mean tokens of a long prompt
   * @param longComputedTokens mean tokens of a long prompt that are computed
   * @param shortPriority mean priority of short prompts; {@link Double#NaN} if unknown
   * @param longPriority mean priority of long prompts; {@link Double#NaN} if unknown
   * @param shortGapObjectiveMillis mean gap objective of short prompts, in milliseconds
   * @param shortObjectiveMillis mean latency objective of short prompts, in milliseconds
   */
  record Averages(
      double shortTokens,
      double shortComputedTokens,
      double longTokens,
      double longComputedTokens,
      double shortPriority,
      double longPriority,
      double shortGapObjectiveMillis,
      double shortObjectiveMillis) {}

  private static final class Kind {
    double count;
    double work;
    double tokens;
    double computed;
    double withPriority;
    double priorities;
    double gapObjectives;
    double objectives;

    void decay(double factor) {
      count *= factor;
      work *= factor;
      tokens *= factor;
      computed *= factor;
      withPriority *= factor;
      priorities *= factor;
      gapObjectives *= factor;
      objectives *= factor;
    }

    void add(RequestNeeds needs, long computedTokens, double workMillis) {
      count++;
      work += workMillis;
      tokens += needs.promptTokens();
      computed += computedTokens;
      gapObjectives += needs.gapObjectiveMillis();
      objectives += needs.objectiveMillis();
      if (!Double.isNaN(needs.priority())) {
        withPriority++;
        priorities += needs.priority();
      }
    }

    /** Returns a mean, or a given value where too little is left of the sums. */
    double mean(double sum, double otherwise) {
      return count > 1e-6 ? sum / count : otherwise;
    }

    double priority() {
      return withPriority > 1e-6 ? priorities / withPriority : Double.NaN;
    }
  }

  private final Kind shortPrompts = new Kind();
  private final Kind longPrompts = new Kind();
  private final EngineDivision division = new EngineDivision();
  private final EngineRanking currentRanking = new EngineRanking();
  private final EngineRanking outdatedRanking = new EngineRanking();
  private long prompts;
  private long updatedAtMillis = Long.MIN_VALUE;

  /**
   * Records a placed prompt.
   *
   * @param needs what it needs
   * @param computedTokens tokens of it that have to be computed
   * @param workMillis work in milliseconds of an engine of median speed
   * @param nowMillis monotonic time in milliseconds
   */
  synchronized void record(
      RequestNeeds needs, long computedTokens, double workMillis, long nowMillis) {
    if (updatedAtMillis != Long.MIN_VALUE && nowMillis > updatedAtMillis) {
      double factor = Math.exp((updatedAtMillis - nowMillis) / DECAY_MILLIS);
      shortPrompts.decay(factor);
      longPrompts.decay(factor);
    }
    updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
    prompts++;
    (needs.isLong() ? longPrompts : shortPrompts).add(needs, computedTokens, workMillis);
  }

  /**
   * Returns the share of engines preferred for short prompts, 0 to 1; 0 while not divided.
   *
   * @param stepShare share of the smallest engine in the speeds of all
   * @param nowMillis monotonic time in milliseconds
   * @param onChange called with the new share after a change
   */
  synchronized double shortShare(double stepShare, long nowMillis, DoubleConsumer onChange) {
    double all = shortPrompts.count + longPrompts.count;
    double minority = Math.min(shortPrompts.count, longPrompts.count);
    boolean divided = division.share() > 0;
    if (!divided && (prompts < MIN_PROMPTS || minority <= MIN_MINORITY_SHARE * all)) {
      return 0;
    }
    double wanted = EngineDivision.wantedShare(shortPrompts.work, longPrompts.work);
    double bounded = Math.max(stepShare, Math.min(1 - stepShare, wanted));
    if (division.update(bounded, stepShare, nowMillis)) {
      onChange.accept(division.share());
    }
    return division.share();
  }

  /** Returns the ranking of the engines with current weights, or of all. */
  EngineRanking currentRanking() {
    return currentRanking;
  }

  /** Returns the ranking of the engines with outdated weights. */
  EngineRanking outdatedRanking() {
    return outdatedRanking;
  }

  /** Returns the averages. */
  synchronized Averages averages() {
    return new Averages(
        shortPrompts.mean(shortPrompts.tokens, DEFAULT_SHORT_TOKENS),
        shortPrompts.mean(shortPrompts.computed, DEFAULT_SHORT_TOKENS),
        longPrompts.mean(longPrompts.tokens, DEFAULT_LONG_TOKENS),
        longPrompts.mean(longPrompts.computed, DEFAULT_LONG_COMPUTED_TOKENS),
        shortPrompts.priority(),
        longPrompts.priority(),
        shortPrompts.mean(shortPrompts.gapObjectives, RequestNeeds.DEFAULT_GAP_OBJECTIVE_MILLIS),
        shortPrompts.mean(shortPrompts.objectives, RequestNeeds.DEFAULT_SHORT_OBJECTIVE_MILLIS));
  }
}
