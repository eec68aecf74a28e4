package org.lockdale.coordination.simulation;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import org.lockdale.coordination.time.Time;

/**
 * A clock that moves only from one scheduled event to the next, in an order that a seed repeats.
 */
public final class VirtualTime implements Time {

  /** Wall clock time at the start of every simulation; any fixed time would do. */
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

  /** Runs all events up to a time in microseconds since the start, and stands there. */
  public void runUntil(long micros) {
    while (!events.isEmpty() && events.peek().atMicros() <= micros) {
      Event event = events.poll();
      nowMicros = event.atMicros();
      event.action().run();
    }
    nowMicros = micros;
  }

  /** Runs all events of a span of milliseconds from now. */
  public void runMillis(long millis) {
    runUntil(nowMicros + millis * 1_000);
  }
}
