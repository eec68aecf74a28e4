package org.lockdale.soak.standin;

import java.io.Closeable;

/** Notices when the machine doesn't run a process in time. */
public final class StallWatch implements Closeable {

  /** Half of the shortest bound that the judge knows, the one of a configuration falling back. */
  public static final long STALL_MILLIS = 125;

  private static final long STEP_MILLIS = 50;

  /** Told of stalls. */
  @FunctionalInterface
  public interface Listener {

    /** Takes in that the process wasn't run since a moment, and is now. */
    void onStall(long sinceMillis);
  }

  private final Listener listener;
  private final Thread thread = new Thread(this::watch, "stall-watch");

  /** Starts to watch. */
  public StallWatch(Listener listener) {
    this.listener = listener;
    thread.setDaemon(true);
    thread.start();
  }

  private void watch() {
    try {
      while (true) {
        long before = StandardStreams.nowMillis();
        Thread.sleep(STEP_MILLIS);
        if (StandardStreams.nowMillis() - before > STEP_MILLIS + STALL_MILLIS) {
          listener.onStall(before);
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
