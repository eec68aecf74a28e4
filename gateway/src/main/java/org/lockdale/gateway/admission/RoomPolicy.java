package org.lockdale.gateway.admission;

/**
 * Decides whether an engine has room for a request. Requests in an engine's own queue can no longer
 * be reordered, so that queue is kept just long enough that the engine never idles: the next
 * request has to arrive while the last prompt is still being computed. Performs no I/O.
 */
public final class RoomPolicy {

  /** Memory is allocated in blocks of this many tokens. */
  private static final long BLOCK_TOKENS = 16;

  /**
   * Part of an engine's memory that is used. The rest allows for responses that are longer than
   * expected, since an engine without free memory preempts a running request.
   */
  private static final double USABLE_MEMORY = 0.95;

  /** Part of the latency objective that a request may wait at an engine. */
  private static final int LOOK_AHEAD_DIVISOR = 4;

  /**
   * Shortest look-ahead, in milliseconds. A relay learns from reports what an engine has computed;
   * a shorter one would leave the engine idle until the next report.
   */
  private static final long MIN_LOOK_AHEAD_MILLIS = 100;

  private RoomPolicy() {}

  /** Returns the time that a request may wait at an engine, in milliseconds. */
  public static long lookAheadMillis(AdmissionTerms terms) {
    return Math.max(MIN_LOOK_AHEAD_MILLIS, terms.objectiveMillis() / LOOK_AHEAD_DIVISOR);
  }

  /** Returns the tokens of an engine's memory that are allocated for a request. */
  public static long allocatedTokens(AdmissionTerms terms) {
    long blocks = (terms.memoryTokens() + BLOCK_TOKENS - 1) / BLOCK_TOKENS;
    return blocks * BLOCK_TOKENS;
  }

  /**
   * Returns whether an engine has room for a request.
   *
   * @param engine state of the engine
   * @param terms what the request needs
   * @param lookAheadMillis time that it may wait at the engine, in milliseconds
   */
  public static boolean hasRoom(EngineRoom engine, AdmissionTerms terms, long lookAheadMillis) {
    return engine.openRequests() < engine.usableSlots()
        && hasMemory(engine, terms)
        && engine.waitMillis(terms.priority()) < lookAheadMillis;
  }

  private static boolean hasMemory(EngineRoom engine, AdmissionTerms terms) {
    // An engine without requests serves any that fits into the whole of its memory.
    return engine.memoryTokens() == 0
        || engine.openRequests() == 0
        || engine.reservedTokens() + allocatedTokens(terms)
            <= engine.memoryTokens() * USABLE_MEMORY;
  }

  /**
   * Returns whether a request is larger than an engine's whole memory, so that it never fits.
   *
   * @param memoryTokens tokens that the memory holds; 0 if unknown
   */
  public static boolean isTooLarge(long memoryTokens, AdmissionTerms terms) {
    return memoryTokens > 0 && allocatedTokens(terms) > memoryTokens;
  }

  /** Returns the tokens that an engine's usable memory has left; the largest number if unknown. */
  public static long freeTokens(EngineRoom engine) {
    return engine.memoryTokens() == 0
        ? Long.MAX_VALUE
        : Math.round(engine.memoryTokens() * USABLE_MEMORY) - engine.reservedTokens();
  }
}
