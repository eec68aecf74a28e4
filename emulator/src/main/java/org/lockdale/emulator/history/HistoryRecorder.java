package org.lockdale.emulator.history;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lockdale.emulator.engine.RunRecord;

/** Gathers the events of a run with the times of one clock. Safe for use by several threads. */
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

  /** Adds an engine's note of a run. */
  public void add(RunRecord run) {
    add(HistoryEvent.Run.of(run, nowMicros()));
  }

  /** Returns all events so far. */
  public synchronized List<HistoryEvent> events() {
    return List.copyOf(events);
  }
}
