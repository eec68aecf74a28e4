package org.lockdale.coordination.simulation;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.lockdale.coordination.time.Time;

/**
 * A virtual clock that advances from one scheduled event to the next. Events run in the order of
 * their times, and those of the same time in the order in which they were scheduled, so that a
 * simulation with the same seed runs identically.
 */
public final class VirtualTime implements Time {

  /** Wall clock time at the start of a simulation, an arbitrary constant. */
  private static final long WALL_START_MILLIS =
      Instant.parse("2026-01-01T00:00:00Z").toEpochMilli();

  private record Event(long atMicros, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::order));
  private long nowMicros;
  private long scheduled;

  @Override
  public long monotonicMillis() {
    return nowMicros / 1_000;
  }

  @Override
  public long wallMillis() {
    return WALL_START_MILLIS + monotonicMillis();
  }

  /** Returns microseconds since the start of the simulation. */
  public long nowMicros() {
    return nowMicros;
  }

  /** Runs an action after a delay in microseconds. */
  public void schedule(long delayMicros, Runnable action) {
    events.add(new Event(nowMicros + Math.max(0, delayMicros), scheduled, action));
    scheduled++;
  }

  /**
   * Runs all events up to a time and sets the clock to it.
   *
   * @param micros time in microseconds since the start
   */
  public void runUntil(long micros) {
    while (!events.isEmpty() && events.peek().atMicros() <= micros) {
      Event event = events.poll();
      nowMicros = event.atMicros();
      event.action().run();
    }
    nowMicros = micros;
  }

  /** Runs all events of the next {@code millis} milliseconds. */
  public void runMillis(long millis) {
    runUntil(nowMicros + millis * 1_000);
  }
}
