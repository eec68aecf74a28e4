package org.lockdale.cli;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.lockdale.router.node.RouterNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the processor time and allocation of an idle node for several numbers of engines. */
@Command(
    name = "control",
    mixinStandardHelpOptions = true,
    description =
        "Measures the control thread of one idle node with several numbers of engines in its zone.")
final class ControlCommand implements Callable<Integer> {

  private static final int WARM_UP_SECONDS = 5;
  private static final double NANOS_PER_MICRO = 1_000;

  @Option(names = "--engines", split = ",", defaultValue = "8,32,128", description = "Sizes.")
  private List<Integer> engines;

  @Option(names = "--seconds", defaultValue = "10", description = "Default: ${DEFAULT-VALUE}.")
  private int seconds;

  @Override
  public Integer call() throws InterruptedException {
    QuietLogs.logWarningsOnly();
    for (int count : engines) {
      Deployment deployment =
          Deployment.find("gift-cards")
              .withEngines(List.of("pasig-a"), List.of(count), UnaryOperator.identity());
      try (LocalCluster cluster = LocalCluster.start(deployment, 1)) {
        NodeThreadMeter meter = new NodeThreadMeter();
        TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
        NodeThreadMeter.Usage before = meter.read(RouterNode.CONTROL_THREADS);
        TimeUnit.SECONDS.sleep(seconds);
        NodeThreadMeter.Usage used = meter.read(RouterNode.CONTROL_THREADS).minus(before);
        System.out.printf(
            "%4d engines: %8.0f us/s of processor, %8.0f kB/s allocated by the control thread%n",
            count,
            used.processorNanos() / NANOS_PER_MICRO / seconds,
            used.allocatedBytes() / 1e3 / seconds);
      }
    }
    return ExitStatus.OK;
  }
}
