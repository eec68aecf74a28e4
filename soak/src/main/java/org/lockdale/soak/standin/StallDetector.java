package org.lockdale.soak.standin;

import java.io.Closeable;

/** Detects that the machine does not schedule this process in time. */
public final class StallDetector implements Closeable {

  /** Half of the checker's shortest bound, that of a fallback to an older configuration. */
  public static final long STALL_THRESHOLD_MILLIS = 125;

  private static final long CHECK_INTERVAL_MILLIS = 50;

  /** Receives stalls. */
  @FunctionalInterface
  public interface Listener {

    /** Called after a stall that started at the given time and has just ended. */
    void onStall(long sinceMillis);
  }

  private final Listener listener;
  private final Thread thread = new Thread(this::watch, "stall-watch");

  /** Starts a thread that notifies the listener of stalls until this is closed. */
  public StallDetector(Listener listener) {
    this.listener = listener;
    thread.setDaemon(true);
    thread.start();
  }

  private void watch() {
    try {
      while (true) {
        long before = StandardStreams.nowMillis();
        Thread.sleep(CHECK_INTERVAL_MILLIS);
        if (StandardStreams.nowMillis() - before > CHECK_INTERVAL_MILLIS + STALL_THRESHOLD_MILLIS) {
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
