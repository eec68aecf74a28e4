package org.lockdale.gateway.request;

import org.lockdale.coordination.time.Time;

/**
 * Predicts the wait in a queue that this node cannot see, from the number of this node's requests
 * in it and the rate at which they start to be served: the number waiting is the rate times the
 * wait (Little's law). A pause is assumed to last as long again as it has lasted so far, so the
 * prediction grows continuously while no request starts. An empty queue predicts no wait. Performs
 * no I/O. Thread-safe.
 */
public final class QueueForecast {

  /**
   * Weight of the newest interval in the moving average: after the rate has dropped to a quarter,
   * the average covers nine tenths of the change within 20 intervals.
   */
  private static final double NEWEST_WEIGHT = 0.12;

  private final Time time;
  private int waiting;
  private int intervals;
  private double intervalMillis;
  private long latestStartMillis;

  /** Creates the forecast of an empty queue. */
  public QueueForecast(Time time) {
    this.time = time;
  }

  /** The place of one request in the queue. It is vacated once; further calls have no effect. */
  public final class Place {
    private boolean vacated;

    private Place() {}

    /** Records that the request starts to be served. */
    public void recordStart() {
      synchronized (QueueForecast.this) {
        if (!vacated) {
          vacated = true;
          recordServed();
        }
      }
    }

    /** Records that the request no longer waits, whether or not it was served. */
    public void leave() {
      synchronized (QueueForecast.this) {
        if (!vacated) {
          vacated = true;
          waiting--;
        }
      }
    }
  }

  /** Adds a request to the queue. */
  public synchronized Place join() {
    if (waiting == 0) {
      // The time during which the queue was empty is not a service interval.
      latestStartMillis = time.monotonicMillis();
    }
    waiting++;
    return new Place();
  }

  private void recordServed() {
    long now = time.monotonicMillis();
    double sample = now - latestStartMillis;
    double weight = Math.max(NEWEST_WEIGHT, 1.0 / (intervals + 1));
    intervalMillis += (sample - intervalMillis) * weight;
    intervals++;
    latestStartMillis = now;
    waiting--;
  }

  /**
   * Returns the predicted wait of a request that would join now, in milliseconds; 0 for an empty
   * queue.
   */
  public synchronized double predictMillis() {
    if (waiting == 0) {
      return 0;
    }
    double silence = Math.max(0, time.monotonicMillis() - latestStartMillis);
    return silence + intervalMillis * (waiting + 1.0);
  }

  /** Returns the number of requests in the queue. */
  public synchronized int waiting() {
    return waiting;
  }
}
