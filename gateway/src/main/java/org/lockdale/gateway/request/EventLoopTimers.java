package org.lockdale.gateway.request;

import io.netty.channel.EventLoop;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.time.Time;

/**
 * Runs the tasks of a request on the event loop of its caller's connection.
 *
 * @param eventLoop runs the tasks
 * @param time clock
 */
record EventLoopTimers(EventLoop eventLoop, Time time) implements RequestTimers {

  @Override
  public long nowMillis() {
    return time.monotonicMillis();
  }

  @Override
  public Future<?> schedule(Runnable task, long delayMillis) {
    return eventLoop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void execute(Runnable task) {
    eventLoop.execute(task);
  }
}
