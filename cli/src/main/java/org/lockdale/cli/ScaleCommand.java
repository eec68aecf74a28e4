package org.lockdale.cli;

import java.util.List;
import java.util.concurrent.Callable;
import org.lockdale.emulator.scale.ScaleExperiment;
import org.lockdale.emulator.scale.ScaleReport;
import org.lockdale.emulator.scale.ScaleSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures coordination at one or more sizes. */
@Command(
    name = "scale",
    mixinStandardHelpOptions = true,
    description =
        "Runs the coordination classes as hollow nodes over an in-memory transport on a virtual"
            + " clock and prints what they cost.")
final class ScaleCommand implements Callable<Integer> {

  @Option(names = "--nodes", split = ",", defaultValue = "8,32,128,390", description = "Sizes.")
  private List<Integer> nodes;

  @Option(names = "--zones", defaultValue = "14", description = "Default: ${DEFAULT-VALUE}.")
  private int zones;

  @Option(names = "--regions", defaultValue = "5", description = "Default: ${DEFAULT-VALUE}.")
  private int regions;

  @Option(names = "--seconds", defaultValue = "120", description = "Simulated steady state.")
  private int seconds;

  @Option(names = "--loss", defaultValue = "10", description = "Messages lost, per mille.")
  private int lossPerMille;

  @Option(names = "--seed", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Override
  public Integer call() {
    System.out.printf(
        "in-memory transport, %d zones, %d regions, %d per mille lost, seed %d%n",
        zones, regions, lossPerMille, seed);
    for (int size : nodes) {
      int usedZones = Math.min(zones, Math.max(2, size / 4));
      ScaleSettings settings =
          new ScaleSettings(
              size, usedZones, Math.min(regions, usedZones), seconds, lossPerMille, seed);
      print(ScaleExperiment.run(settings));
    }
    return ExitStatus.OK;
  }

  private static void print(ScaleReport report) {
    System.out.printf("%nnodes %d in %d zones%n", report.nodes(), report.zones());
    System.out.printf("  join together           %8d ms%n", report.joinMillis());
    System.out.printf(
        "  steady                  %8.0f bytes/s %6.1f messages/s %6.0f us/s of processor%n",
        report.steadyBytesPerSecond(),
        report.steadyMessagesPerSecond(),
        report.steadyProcessorMicrosPerSecond());
    System.out.printf("  false deaths            %8d%n", report.falseDeaths());
    System.out.printf(
        "  change in force         %8d ms median, %d ms slowest, %.0f bytes a node%n",
        report.changeMillisP50(), report.changeMillisMax(), report.changeBytesPerNode());
    System.out.printf(
        "  death known             %8d ms median, %d ms everywhere%n",
        report.detectionMillisP50(), report.detectionMillisMax());
    System.out.printf(
        "  zone cut and healed     %8d ms to agree, change in force after %d ms, worst second %d"
            + " bytes%n",
        report.healMillis(), report.changeAfterHealMillis(), report.zoneCutWorstBytes());
    System.out.printf(
        "  all restarted together  %8d ms to agree, worst second %d bytes%n",
        report.herdMillis(), report.herdWorstBytes());
    System.out.printf("  heap                    %8d bytes a node%n", report.heapBytesPerNode());
  }
}
