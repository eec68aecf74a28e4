package org.lockdale.gateway.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures the engine time that requests of each priority have lately taken, which less urgent ones
 * do not get. Performs no I/O. Not thread-safe.
 */
public final class AdmittedRate {

  /** Shorter than callers wait, and longer than the time between two bursts of arrivals. */
  private static final long WINDOW_MILLIS = 1_000;

  private record Admitted(int priority, double workMillis, long atMillis) {}

  private final Deque<Admitted> latest = new ArrayDeque<>();
  private final double[] sums = new double[WaitingTokens.PRIORITIES];

  /**
   * Records an admission.
   *
   * @param priority priority of the request
   * @param workMillis engine time that it takes, in milliseconds
   * @param nowMillis monotonic time in milliseconds
   */
  public void record(int priority, double workMillis, long nowMillis) {
    int index = WaitingTokens.index(priority);
    latest.add(new Admitted(index, workMillis, nowMillis));
    sums[index] += workMillis;
    expire(nowMillis);
  }

  /**
   * Returns the engine time that requests more urgent than a priority have taken, in milliseconds
   * per millisecond.
   */
  public double ofMoreUrgent(int priority, long nowMillis) {
    expire(nowMillis);
    double sum = 0;
    for (int index = 0; index < WaitingTokens.index(priority); index++) {
      sum += sums[index];
    }
    return Math.max(0, sum) / WINDOW_MILLIS;
  }

  /**
   * Returns the engine time that requests of a priority have taken, in milliseconds per
   * millisecond.
   */
  public double of(int priority, long nowMillis) {
    expire(nowMillis);
    return Math.max(0, sums[WaitingTokens.index(priority)]) / WINDOW_MILLIS;
  }

  private void expire(long nowMillis) {
    while (!latest.isEmpty() && nowMillis - latest.peek().atMillis() > WINDOW_MILLIS) {
      Admitted old = latest.remove();
      sums[old.priority()] -= old.workMillis();
    }
  }
}
