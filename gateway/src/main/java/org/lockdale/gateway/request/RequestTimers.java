package org.lockdale.gateway.request;

import java.util.concurrent.Executor;
import java.util.concurrent.Future;

/** Clock and timers of one request. Runs everything in the order in which it becomes due. */
interface RequestTimers extends Executor {

  /** Returns the monotonic time in milliseconds. */
  long nowMillis();

  /**
   * Runs a task once.
   *
   * @param delayMillis time until the task is run, in milliseconds
   * @return the timer, which can be cancelled
   */
  Future<?> schedule(Runnable task, long delayMillis);
}
