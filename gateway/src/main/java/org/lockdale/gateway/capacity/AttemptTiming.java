package org.lockdale.gateway.capacity;

import java.util.Objects;

/**
 * Times of one attempt that ended with a complete response.
 *
 * @param engine text form of the backend's incarnation
 * @param computedTokens prompt tokens that the engine had to compute; 0 without a prompt
 * @param waitingTokens prompt tokens that waited at the engine when the attempt was sent
 * @param openRequests requests that were open at the backend when it was sent, as known here
 * @param firstMillis time from sending it to the first event, or to the complete response where it
 *     is no stream, in milliseconds
 * @param typicalGapMillis median time between two events, in milliseconds; -1 with fewer than two
 * @param longestGapMillis longest time between two events, in milliseconds; -1 with fewer than two
 */
public record AttemptTiming(
    String engine,
    long computedTokens,
    long waitingTokens,
    int openRequests,
    long firstMillis,
    long typicalGapMillis,
    long longestGapMillis) {

  /** Checks the values. */
  public AttemptTiming {
    Objects.requireNonNull(engine);
    if (firstMillis < 0) {
      throw new IllegalArgumentException(
          "the time to the first event must not be negative, but is " + firstMillis);
    }
  }

  /** Returns whether it was a stream with at least two events. */
  public boolean hasGap() {
    return typicalGapMillis >= 0;
  }
}
