package org.lockdale.emulator.history;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lockdale.emulator.engine.RunRecord;

/** Collects the events of a run, timed by one clock. Safe for use by several threads. */
public final class HistoryRecorder {

  private final List<HistoryEvent> events = new ArrayList<>();
  private final long startNanos = System.nanoTime();

  /** Returns microseconds since the recorder was created. */
  public long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos);
  }

  /** Adds an event. */
  public synchronized void add(HistoryEvent event) {
    events.add(event);
  }

  /** Adds the record of an engine that started to run an attempt, with the present time. */
  public void add(RunRecord run) {
    add(HistoryEvent.Run.of(run, nowMicros()));
  }

  /** Returns a copy of all events added so far. */
  public synchronized List<HistoryEvent> events() {
    return List.copyOf(events);
  }
}
