package org.lockdale.soak.run;

import java.io.Closeable;
import org.lockdale.soak.judge.History;
import org.lockdale.soak.standin.StandardStreams;

/**
 * Notices when the machine doesn't run this process in time, which the judge counts as a disruption
 * of everything: other work on the machine must not look like a node's fault.
 */
final class StallWatch implements Closeable {

  private static final long STEP_MILLIS = 50;

  /** Half of the shortest bound that the judge knows, the one of a configuration falling back. */
  private static final long STALL_MILLIS = 125;

  private final NoteLog notes;
  private final Thread thread = new Thread(this::watch, "stall-watch");

  StallWatch(NoteLog notes) {
    this.notes = notes;
    thread.setDaemon(true);
    thread.start();
  }

  private void watch() {
    try {
      while (true) {
        long before = StandardStreams.nowMillis();
        Thread.sleep(STEP_MILLIS);
        if (StandardStreams.nowMillis() - before > STEP_MILLIS + STALL_MILLIS) {
          notes.disruptionEnds(notes.disruptionBegan(before, History.EVERYTHING, true));
        }
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    thread.interrupt();
  }
}
