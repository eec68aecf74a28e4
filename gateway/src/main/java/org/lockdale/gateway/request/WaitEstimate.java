package org.lockdale.gateway.request;

/**
 * Learns how long a request waits for its first event from the prompt tokens that are before it,
 * its own included: one figure for each rank, since a more urgent request passes others. Nothing is
 * predicted before enough answers were seen. No I/O; safe for use by several threads.
 */
public final class WaitEstimate {

  /** Requests with fewer tokens before them tell of the network rather than of the engine. */
  private static final long LEAST_TOKENS = 8_000;

  private static final int LEAST_ANSWERS = 10;

  /** Weight of the newest answer. */
  private static final double NEWEST_WEIGHT = 0.1;

  private static final int RANKS = 10;

  private final double[] millisPerToken = new double[RANKS];
  private final int[] answers = new int[RANKS];

  /**
   * Takes in an answer.
   *
   * @param rank rank of the request, 0 the most urgent
   * @param tokens prompt tokens that had to be computed before its first event
   * @param millis time from its sending to its first event
   */
  public synchronized void observe(int rank, long tokens, long millis) {
    if (tokens < LEAST_TOKENS || !isKnownRank(rank)) {
      return;
    }
    double sample = (double) millis / tokens;
    double weight = Math.max(NEWEST_WEIGHT, 1.0 / (answers[rank] + 1));
    millisPerToken[rank] += (sample - millisPerToken[rank]) * weight;
    answers[rank]++;
  }

  /**
   * Predicts the time to the first event, in milliseconds; 0 where too little is known.
   *
   * @param rank rank of the request
   * @param tokens prompt tokens that have to be computed before its first event
   */
  public synchronized double predictMillis(int rank, long tokens) {
    boolean known = isKnownRank(rank) && answers[rank] >= LEAST_ANSWERS;
    return known && tokens >= LEAST_TOKENS ? millisPerToken[rank] * tokens : 0;
  }

  private static boolean isKnownRank(int rank) {
    return rank >= 0 && rank < RANKS;
  }
}
