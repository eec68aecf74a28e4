package org.lockdale.gateway.request;

import org.lockdale.coordination.time.Time;

/**
 * Predicts how long a request waits in a queue that this node can't see, from how many of its own
 * requests wait there and how often one of them begins to be served: the number that waits is the
 * rate times the wait (Little's law). A pause is taken to last as long again as it has lasted, so
 * that a queue from which nothing begins grows slower with every moment. An empty queue predicts no
 * wait. No I/O; safe for use by several threads.
 */
public final class QueueForecast {

  /**
   * Weight of the newest interval: a rate that falls to a quarter is followed to nine tenths within
   * 20 intervals.
   */
  private static final double NEWEST_WEIGHT = 0.12;

  private final Time time;
  private int waiting;
  private int intervals;
  private double intervalMillis;
  private long latestProgressMillis;

  /** Creates the forecast of an empty queue. */
  public QueueForecast(Time time) {
    this.time = time;
  }

  /** One request in the queue; leaves it once, however often that is told. */
  public final class Place {
    private boolean left;

    private Place() {}

    /** Notes that the request begins to be served. */
    public void begin() {
      synchronized (QueueForecast.this) {
        if (!left) {
          left = true;
          served();
        }
      }
    }

    /** Notes that the request waits no longer, whether or not it was served. */
    public void leave() {
      synchronized (QueueForecast.this) {
        if (!left) {
          left = true;
          waiting--;
        }
      }
    }
  }

  /** Notes that a request joins the queue. */
  public synchronized Place join() {
    if (waiting == 0) {
      // A queue that was empty has told nothing since its latest progress.
      latestProgressMillis = time.monotonicMillis();
    }
    waiting++;
    return new Place();
  }

  private void served() {
    long now = time.monotonicMillis();
    double sample = now - latestProgressMillis;
    double weight = Math.max(NEWEST_WEIGHT, 1.0 / (intervals + 1));
    intervalMillis += (sample - intervalMillis) * weight;
    intervals++;
    latestProgressMillis = now;
    waiting--;
  }

  /** Predicts the wait of a request that would join now, in milliseconds; 0 for an empty queue. */
  public synchronized double predictMillis() {
    if (waiting == 0) {
      return 0;
    }
    double silence = Math.max(0, time.monotonicMillis() - latestProgressMillis);
    return silence + intervalMillis * (waiting + 1.0);
  }

  /** Returns the number of requests in the queue. */
  public synchronized int waiting() {
    return waiting;
  }
}
