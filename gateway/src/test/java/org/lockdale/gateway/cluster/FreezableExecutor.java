package org.lockdale.gateway.cluster;

import java.util.function.LongSupplier;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.quarantine.VirtualExecutor;

/** The event loop of a simulated node, which runs no tasks while the node is frozen. */
final class FreezableExecutor extends VirtualExecutor {

  private final VirtualTime time;
  private final LongSupplier frozenUntilMicros;

  /**
   * Creates an executor.
   *
   * @param time simulated time
   * @param frozenUntilMicros supplies the simulated time until which the node is frozen, in
   *     microseconds
   */
  FreezableExecutor(VirtualTime time, LongSupplier frozenUntilMicros) {
    super(time);
    this.time = time;
    this.frozenUntilMicros = frozenUntilMicros;
  }

  @Override
  protected void after(long micros, Runnable task) {
    super.after(micros, () -> runWhenAwake(task));
  }

  private void runWhenAwake(Runnable task) {
    long frozenFor = frozenUntilMicros.getAsLong() - time.nowMicros();
    if (frozenFor <= 0) {
      task.run();
    } else {
      super.after(frozenFor, () -> runWhenAwake(task));
    }
  }
}
