package org.lockdale.gateway.placement;

import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.cache.MissingPrefix;

/**
 * Cost of serving a prompt at an engine, in milliseconds: the time to its first event, the further
 * time to its end, and the delay that its computation causes to the streams that run there. An
 * engine computes prompts in chunks between the steps in which it decodes all streams, so a chunk
 * delays every stream of the engine.
 *
 * @param needs what the prompt needs
 * @param averages averages of the prompts of the pool
 * @param ownTokens tokens of the part that no other prompt shares
 * @param tokensPerEvent largest number of tokens in one event of a stream
 * @param memoryTokens tokens that the memory of an engine holds; 0 if unknown
 */
record TimeCost(
    RequestNeeds needs,
    PoolDemand.Averages averages,
    long ownTokens,
    int tokensPerEvent,
    long memoryTokens) {

  /**
   * Chunk in which engines are assumed to compute prompts, in tokens: the shorter one of the
   * deployments of docs/LOAD.md. With the longer one, engines would count as harming streams whose
   * gap objective belongs to the deployment with short chunks.
   */
  static final double CHUNK_TOKENS = 1_024;

  /** Prefill rate assumed until one is known, in tokens per millisecond. */
  static final double DEFAULT_TOKENS_PER_MILLI = 30;

  /** Duration of a decode step of an engine of median speed, in milliseconds. */
  private static final double STEP_MILLIS = 6;

  /** Further duration of a decode step for each stream, in milliseconds. */
  private static final double STEP_MILLIS_PER_STREAM = 0.03;

  /** Tokens of a cached prompt that are transferred from another holder per millisecond. */
  private static final double FETCHED_TOKENS_PER_MILLI = 300;

  /**
   * Extra cost of computing a shared part elsewhere than at its home, relative to computing it: the
   * home would compute it again for a node that has not learned of this yet.
   */
  private static final double NON_HOME_COST = 2;

  /** Cost of computing a part that another engine already computes, relative to computing it. */
  private static final double RECOMPUTE_COST = 3;

  /**
   * Share of a delay of a stream that counts as cost of the request that causes it. Most streams
   * are ahead of their objectives, so that a small delay makes few of them late.
   */
  private static final double STREAM_DELAY_WEIGHT = 0.1;

  /**
   * Part of an engine's time that the prompts of its streams take when all slots are in use. While
   * a prompt is computed, the other streams wait for it.
   */
  private static final double PREFILL_SHARE = 0.5;

  /**
   * Factor by which a stream takes longer at an engine preferred for long prompts: these may keep
   * it busy for most of the time, and half of it is usual.
   */
  private static final double LONG_PROMPTS_FACTOR = 2;

  /** Cost of an engine of the other kind, relative to the latency objective. */
  private static final double OTHER_KIND_SHARE = 0.1;

  /** Share of an engine's memory up to which requests are placed without preemptions. */
  private static final double USABLE_MEMORY_SHARE = 0.95;

  /** How an engine is classified by the division. */
  enum Preference {
    /** The engines are not divided. */
    UNDIVIDED,
    /** Preferred for short prompts. */
    SHORT,
    /** Preferred for long prompts. */
    LONG
  }

  /**
   * Costs of one engine, in milliseconds.
   *
   * @param total cost by which engines are compared
   * @param computeMillis time to compute the prompt, with what is computed twice
   * @param endMillis time to the end of the response
   */
  record Estimate(double total, double computeMillis, double endMillis) {}

  /**
   * Returns the time of an engine of median speed that a prompt takes, in milliseconds. An engine
   * is saturated where the work that arrives in a millisecond is one millisecond.
   *
   * @param computedTokens prompt tokens to compute
   * @param outputTokens expected tokens of the response
   * @param slots requests that the engine processes at once
   */
  static double workMillis(double computedTokens, double outputTokens, int slots) {
    return computedTokens / DEFAULT_TOKENS_PER_MILLI
        + outputTokens * STEP_MILLIS / Math.max(1, slots);
  }

  Estimate of(EngineState state, MissingPrefix need, boolean isHome, Preference preference) {
    BackendWork work = state.work();
    double rate = state.tokensPerMilli();
    double streams = shortRequests(work);
    double computed = ownTokens + need.computed();
    double first =
        (tokensAhead(work) + computed) / rate
            + need.fetchable() / FETCHED_TOKENS_PER_MILLI
            + slotWait(state);
    double duplicated =
        need.unknown() * (isHome ? 0 : NON_HOME_COST) + need.recomputed() * (RECOMPUTE_COST - 1);
    double end = first + streamMillis(state, preference);
    double total =
        end
            + duplicated / rate
            + delayOfOthers(state, streams, computed)
            + delayOfFollowers(work, need.computed() / rate)
            + unsuitability(state, preference)
            + memoryPressure(state);
    return new Estimate(total, (computed + duplicated) / rate, end);
  }

  /**
   * Returns the tokens that an engine computes before this prompt. Reports don't tell priorities,
   * so the waiting tokens that short prompts can't account for are taken as those of long ones.
   * Tokens of a less urgent priority delay this prompt by one chunk at most.
   */
  double tokensAhead(BackendWork work) {
    double ofShort =
        Math.min(work.waitingTokens(), shortRequests(work) * averages.shortComputedTokens());
    double ofLong = work.waitingTokens() - ofShort;
    if (needs.isLong()) {
      boolean overtakes = isBefore(averages.shortPriority(), false);
      return ofLong + (overtakes ? Math.min(ofShort, CHUNK_TOKENS) : ofShort);
    }
    boolean overtakes = isBefore(averages.longPriority(), true);
    return ofShort + (overtakes ? Math.min(ofLong, CHUNK_TOKENS) : ofLong);
  }

  /** Returns whether this prompt is more urgent than those of a mean priority. */
  private boolean isBefore(double priority, boolean ifUnknown) {
    return Double.isNaN(priority) || Double.isNaN(needs.priority())
        ? ifUnknown
        : needs.priority() + 0.5 < priority;
  }

  /** Returns the estimated number of open requests that have short prompts. */
  private double shortRequests(BackendWork work) {
    double difference = averages.longTokens() - averages.shortTokens();
    // Waiting tokens count only what is computed of a prompt, running ones all of it.
    double waitingScale = averages.longTokens() / Math.max(1, averages.longComputedTokens());
    double tokens = work.runningTokens() + work.waitingTokens() * waitingScale;
    double estimated = (work.openRequests() * averages.longTokens() - tokens) / difference;
    return difference <= 0
        ? work.openRequests()
        : Math.max(0, Math.min(work.openRequests(), estimated));
  }

  private static double stepMillis(EngineState state) {
    return (STEP_MILLIS + STEP_MILLIS_PER_STREAM * state.work().openRequests()) / state.speed();
  }

  private double streamMillis(EngineState state, Preference preference) {
    double load = Math.min(1, (double) state.work().openRequests() / slots(state));
    double busy = stepMillis(state) / (1 - PREFILL_SHARE * load);
    double factor = preference == Preference.LONG && !needs.isLong() ? LONG_PROMPTS_FACTOR : 1;
    return needs.outputTokens() * busy * factor;
  }

  private static int slots(EngineState state) {
    return Math.max(1, state.engine().backend().slots());
  }

  /**
   * Returns the cost of waiting for a slot: the time until one is free, and the objective of short
   * prompts, since the request waits in the engine's own queue, whose order the gateway can no
   * longer change. With less, prompts are queued while engines preferred for the other kind have
   * free slots.
   */
  private double slotWait(EngineState state) {
    int queued = state.work().openRequests() - slots(state) + 1;
    if (queued <= 0) {
      return 0;
    }
    double held = needs.outputTokens() * stepMillis(state) / (1 - PREFILL_SHARE);
    return queued * held / slots(state)
        + Math.min(needs.objectiveMillis(), averages.shortObjectiveMillis());
  }

  /**
   * Returns the cost of the delay that computing this prompt causes to the streams of an engine. If
   * the gap between two events exceeds their objective meanwhile, each of them counts as late.
   */
  private double delayOfOthers(EngineState state, double streams, double computed) {
    double gap = gapBesideChunks(state, Math.min(CHUNK_TOKENS, computed));
    boolean late = needs.isLong() && gap > averages.shortGapObjectiveMillis();
    double delay = STREAM_DELAY_WEIGHT * computed / state.tokensPerMilli();
    return streams * (late ? Math.max(delay, averages.shortObjectiveMillis()) : delay);
  }

  /**
   * Returns the cost of the delay that computing missing shared parts causes to those who come
   * later, of whom as many are expected as wait now. Without it, an overload would spread every
   * shared part over all engines, which makes the overload worse.
   */
  private double delayOfFollowers(BackendWork work, double missingMillis) {
    double waitingLong = work.waitingTokens() / Math.max(1, averages.longComputedTokens());
    return waitingLong * missingMillis;
  }

  private double gapBesideChunks(EngineState state, double chunkTokens) {
    return tokensPerEvent * (stepMillis(state) + chunkTokens / state.tokensPerMilli());
  }

  private double unsuitability(EngineState state, Preference preference) {
    if (preference == Preference.UNDIVIDED || needs.isLong() == (preference == Preference.LONG)) {
      return 0;
    }
    boolean late =
        !needs.isLong() && gapBesideChunks(state, CHUNK_TOKENS) > needs.gapObjectiveMillis();
    return needs.objectiveMillis() * (late ? 1 : OTHER_KIND_SHARE);
  }

  /** Returns the cost of a stream that is preempted, which is late, where memory is short. */
  private double memoryPressure(EngineState state) {
    double occupied = state.reservedTokens() + needs.promptTokens() + needs.outputTokens();
    double usable = USABLE_MEMORY_SHARE * memoryTokens;
    return memoryTokens > 0 && occupied > usable ? needs.objectiveMillis() * occupied / usable : 0;
  }
}
