package org.lockdale.gateway.request;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

/** Timers under simulated time, which passes only when the next task is run. */
final class SimulatedTimers implements RequestTimers {

  /** A task that is run when it is due, unless it was cancelled. */
  private static final class Task extends CompletableFuture<Void> {
    final long dueMillis;
    final long number;
    final Runnable action;

    Task(long dueMillis, long number, Runnable action) {
      this.dueMillis = dueMillis;
      this.number = number;
      this.action = action;
    }
  }

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.<Task>comparingLong(task -> task.dueMillis)
              .thenComparingLong(task -> task.number));

  private final RequestInvariants invariants;
  private long nowMillis;
  private long created;

  SimulatedTimers(RequestInvariants invariants) {
    this.invariants = invariants;
  }

  @Override
  public long nowMillis() {
    return nowMillis;
  }

  @Override
  public Future<?> schedule(Runnable task, long delayMillis) {
    invariants.requireOpen("a timer is set");
    return add(task, delayMillis);
  }

  @Override
  public void execute(Runnable task) {
    add(task, 0);
  }

  private Task add(Runnable action, long delayMillis) {
    Task task = new Task(nowMillis + delayMillis, created++, action);
    tasks.add(task);
    return task;
  }

  /**
   * Advances the time to the next task and runs it.
   *
   * @return whether there was one
   */
  boolean runNext() {
    Task next = tasks.poll();
    while (next != null && next.isDone()) {
      next = tasks.poll();
    }
    if (next == null) {
      return false;
    }
    nowMillis = next.dueMillis;
    invariants.trace(nowMillis + " ms");
    next.complete(null);
    next.action.run();
    return true;
  }
}
