package org.lockdale.gateway.cluster;

import java.util.function.LongSupplier;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.quarantine.VirtualExecutor;

/** An event loop of a simulated node that runs nothing while the node is frozen. */
final class AwakeExecutor extends VirtualExecutor {

  private final VirtualTime time;
  private final LongSupplier frozenUntilMicros;

  /**
   * Creates it.
   *
   * @param time simulated time
   * @param frozenUntilMicros tells until when the node is frozen, by that time
   */
  AwakeExecutor(VirtualTime time, LongSupplier frozenUntilMicros) {
    super(time);
    this.time = time;
    this.frozenUntilMicros = frozenUntilMicros;
  }

  @Override
  protected void after(long micros, Runnable task) {
    super.after(micros, () -> runAwake(task));
  }

  private void runAwake(Runnable task) {
    long frozenFor = frozenUntilMicros.getAsLong() - time.nowMicros();
    if (frozenFor <= 0) {
      task.run();
    } else {
      super.after(frozenFor, () -> runAwake(task));
    }
  }
}
