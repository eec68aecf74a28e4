package org.lockdale.gateway.quarantine;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.simulation.VirtualTime;

/** An event loop of a simulated node, in simulated time. */
public class VirtualExecutor extends AbstractExecutorService implements ScheduledExecutorService {

  private final VirtualTime time;
  private boolean stopped;

  public VirtualExecutor(VirtualTime time) {
    this.time = time;
  }

  @Override
  public void execute(Runnable task) {
    after(0, task);
  }

  /** Runs a task after a delay in microseconds, unless the executor has been stopped by then. */
  protected void after(long micros, Runnable task) {
    time.schedule(
        micros,
        () -> {
          if (!stopped) {
            task.run();
          }
        });
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    after(unit.toMicros(delay), task);
    return null;
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(
      Runnable task, long first, long period, TimeUnit unit) {
    after(
        unit.toMicros(first),
        () -> {
          task.run();
          scheduleAtFixedRate(task, period, period, unit);
        });
    return null;
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(
      Runnable task, long first, long delay, TimeUnit unit) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void shutdown() {
    stopped = true;
  }

  @Override
  public List<Runnable> shutdownNow() {
    stopped = true;
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return stopped;
  }

  @Override
  public boolean isTerminated() {
    return stopped;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return stopped;
  }
}
