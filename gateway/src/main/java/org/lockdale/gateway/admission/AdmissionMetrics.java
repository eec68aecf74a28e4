package org.lockdale.gateway.admission;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Counts what the admission queue of a node does. Thread-safe. */
public final class AdmissionMetrics {

  /** Why a request was refused. */
  public enum Cause {
    /** The forecast on its arrival exceeded the patience of its caller. */
    ARRIVAL("arrival"),
    /** The forecast grew while it waited. */
    FORECAST_CHANGED("forecast-changed"),
    /** Its caller's patience ended while it waited. */
    PATIENCE("patience"),
    /** It fits into the memory of no engine. */
    TOO_LARGE("too-large"),
    /** The queue had no space. */
    FULL("full");

    private final String label;

    Cause(String label) {
      this.label = label;
    }

    /** Returns the name in metrics and logs. */
    public String label() {
      return label;
    }
  }

  /**
   * Waiting requests of one pool and priority.
   *
   * @param pool name of the pool
   * @param priority their priority
   * @param tickets number of requests
   * @param oldestMillis time since the oldest of them arrived, in milliseconds; 0 if none waits
   */
  public record Waiting(String pool, int priority, int tickets, long oldestMillis) {}

  private final AtomicLong admissions = new AtomicLong();
  private final Map<Cause, AtomicLong> refusals = new EnumMap<>(Cause.class);
  private volatile List<Waiting> waiting = List.of();

  /** Creates metrics that are all 0. */
  public AdmissionMetrics() {
    for (Cause cause : Cause.values()) {
      refusals.put(cause, new AtomicLong());
    }
  }

  /** Counts an admission. */
  public void countAdmission() {
    admissions.incrementAndGet();
  }

  /** Counts a refusal. */
  public void countRefusal(Cause cause) {
    counterOf(cause).incrementAndGet();
  }

  /** Publishes the lengths of the queues. */
  public void publish(List<Waiting> lengths) {
    waiting = List.copyOf(lengths);
  }

  /** Returns the number of admissions. */
  public long admissions() {
    return admissions.get();
  }

  /** Returns the number of refusals for a cause. */
  public long refusals(Cause cause) {
    return counterOf(cause).get();
  }

  /** Returns the lengths of the queues. */
  public List<Waiting> waiting() {
    return waiting;
  }

  private AtomicLong counterOf(Cause cause) {
    AtomicLong counter = refusals.get(cause);
    if (counter == null) {
      throw new IllegalStateException("no counter for " + cause);
    }
    return counter;
  }
}
