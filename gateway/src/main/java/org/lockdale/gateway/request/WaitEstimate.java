package org.lockdale.gateway.request;

/**
 * Estimates the time to the first event of a request from the number of prompt tokens to be
 * computed before it, including its own. Keeps one value for each priority, since more urgent
 * requests overtake others. Predicts nothing until enough responses were recorded. Performs no I/O.
 * Thread-safe.
 */
public final class WaitEstimate {

  /** Below this number of tokens the time is dominated by the network rather than the engine. */
  private static final long MIN_TOKENS = 8_000;

  private static final int MIN_RESPONSES = 10;

  /** Weight of the newest response in the moving average. */
  private static final double NEWEST_WEIGHT = 0.1;

  private static final int PRIORITIES = 10;

  private final double[] millisPerToken = new double[PRIORITIES];
  private final int[] responses = new int[PRIORITIES];

  /**
   * Records a response. Ignored if the priority is out of range or the tokens are too few to be
   * significant.
   *
   * @param priority priority of the request, 0 is the most urgent
   * @param tokens prompt tokens that had to be computed before its first event
   * @param millis time from sending it to its first event, in milliseconds
   */
  public synchronized void observe(int priority, long tokens, long millis) {
    if (tokens < MIN_TOKENS || !isValidPriority(priority)) {
      return;
    }
    double sample = (double) millis / tokens;
    double weight = Math.max(NEWEST_WEIGHT, 1.0 / (responses[priority] + 1));
    millisPerToken[priority] += (sample - millisPerToken[priority]) * weight;
    responses[priority]++;
  }

  /**
   * Returns the predicted time to the first event, in milliseconds; 0 if too little is known.
   *
   * @param priority priority of the request, 0 is the most urgent
   * @param tokens prompt tokens that have to be computed before its first event
   */
  public synchronized double predictMillis(int priority, long tokens) {
    boolean isPredictable = isValidPriority(priority) && responses[priority] >= MIN_RESPONSES;
    return isPredictable && tokens >= MIN_TOKENS ? millisPerToken[priority] * tokens : 0;
  }

  private static boolean isValidPriority(int priority) {
    return priority >= 0 && priority < PRIORITIES;
  }
}
