package org.lockdale.gateway.admission;

/**
 * State of one engine on which it depends whether it has room, and what a decider may use of it.
 *
 * @param slots requests that it processes at once, as far as this decider may use them
 * @param openRequests requests of all nodes that have not ended
 * @param memoryTokens tokens that its memory holds, as far as this decider may use them; 0 if
 *     unknown
 * @param reservedTokens tokens of its memory that open requests occupy
 * @param waiting prompt tokens that wait there, by priority
 * @param tokensPerMilli prompt tokens that it computes in a millisecond; greater than 0
 * @param proven whether it has answered a request or its load was reported
 */
public record EngineRoom(
    int slots,
    int openRequests,
    long memoryTokens,
    long reservedTokens,
    WaitingTokens waiting,
    double tokensPerMilli,
    boolean proven) {

  /**
   * Computation rate of an engine of which none is known, in prompt tokens a millisecond; the
   * lowest rate that an operator states for its engines.
   */
  public static final double DEFAULT_TOKENS_PER_MILLI = 30;

  /** Checks that the rate can be divided by. */
  public EngineRoom {
    if (tokensPerMilli <= 0) {
      throw new IllegalArgumentException(
          "the computation rate is " + tokensPerMilli + "; use the default rate if it is unknown");
    }
  }

  /** Returns the number of requests that may be open at once. */
  int usableSlots() {
    return proven ? slots : Math.max(1, slots / 2);
  }

  /**
   * Returns the time that the engine needs to compute the prompts that wait ahead of a priority, in
   * milliseconds.
   */
  double waitMillis(int priority) {
    return waiting.upTo(priority) / tokensPerMilli;
  }

  /** Returns the part of the engine that one of several deciders may use. */
  public EngineRoom share(int deciders) {
    return deciders <= 1
        ? this
        : new EngineRoom(
            (slots + deciders - 1) / deciders,
            openRequests,
            memoryTokens / deciders,
            reservedTokens,
            waiting,
            tokensPerMilli,
            proven);
  }
}
