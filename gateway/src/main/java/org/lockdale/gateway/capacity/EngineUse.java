package org.lockdale.gateway.capacity;

import java.util.Objects;

/**
 * Use that one node makes of one engine.
 *
 * @param engine text form of the engine's incarnation
 * @param reservedTokens prompt tokens and expected output tokens of the open attempts
 * @param openRequests open attempts
 * @param heardAgeMillis time since the node received anything from the engine, in milliseconds;
 *     {@link #UNKNOWN} if it has received nothing or does not know
 * @param waitingMillis time for which the oldest open attempt without any response has waited, in
 *     milliseconds; {@link #UNKNOWN} if there is none or the node's times show nothing
 */
public record EngineUse(
    String engine, long reservedTokens, int openRequests, long heardAgeMillis, long waitingMillis) {

  /** Stands for a time that is not known. */
  public static final long UNKNOWN = -1;

  /** Checks the values. */
  public EngineUse {
    Objects.requireNonNull(engine);
    if (reservedTokens < 0 || openRequests < 0) {
      throw new IllegalArgumentException(
          "tokens and requests must not be negative, but are "
              + reservedTokens
              + " and "
              + openRequests);
    }
  }

  /**
   * Returns the time for which open attempts have received nothing, in milliseconds; {@link
   * #UNKNOWN} without open attempts, or if the node's times show nothing.
   */
  public long quietMillis() {
    if (openRequests == 0 || heardAgeMillis < 0 && waitingMillis < 0) {
      return UNKNOWN;
    }
    if (heardAgeMillis < 0) {
      return waitingMillis;
    }
    return waitingMillis < 0 ? heardAgeMillis : Math.min(heardAgeMillis, waitingMillis);
  }
}
