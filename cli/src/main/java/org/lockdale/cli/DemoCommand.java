package org.lockdale.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.emulator.engine.EngineServer;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.load.LoadGenerator;
import org.lockdale.emulator.load.LoadReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs an example deployment with stand-in engines and platform under load and prints a report. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description =
        "Runs three nodes, stand-in engines and platform in one process under a user's workload.")
final class DemoCommand implements Callable<Integer> {

  @Mixin private WorkloadOptions options = new WorkloadOptions();

  @Option(names = "--report", paramLabel = "FILE.json", description = "Writes the report as JSON.")
  private @Nullable Path reportFile;

  @Override
  public Integer call() throws IOException, InterruptedException {
    QuietLogs.logWarningsOnly();
    Deployment deployment = Deployment.find(options.workload);
    double requestsPerSecond = options.rateOf(deployment);
    System.out.printf(
        "lockdale demo: %s, %d nodes, %d engines, %.0f requests/s for %.0f s, seed %d%n%n",
        options.workload,
        deployment.zones().size(),
        deployment.engines().size(),
        requestsPerSecond,
        options.seconds,
        options.seed);
    try (LocalCluster cluster = LocalCluster.start(deployment, options.seed)) {
      ScheduledExecutorService progress = startProgress(cluster);
      new LoadGenerator(cluster.eventLoops(), cluster.history())
          .run(
              deployment.workload(),
              cluster.callerAddresses(),
              requestsPerSecond,
              options.seconds,
              options.seed);
      progress.shutdownNow();
      for (EngineServer engine : cluster.engines()) {
        cluster
            .history()
            .add(new HistoryEvent.ForeignReuse(engine.settings().id(), engine.foreignReuses()));
      }
      LoadReport report = LoadReport.of(cluster.history().events(), deployment::priorityOf);
      ReportPrinter.print(report, true);
      write(report);
      return report.verdict().passed() ? ExitStatus.OK : ExitStatus.FAILED;
    }
  }

  /** Prints progress every second if the process is attached to a terminal. */
  private static ScheduledExecutorService startProgress(LocalCluster cluster) {
    ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
    if (System.console() != null) {
      executor.scheduleAtFixedRate(
          () -> System.err.printf("\r%d events ", cluster.history().events().size()),
          1,
          1,
          TimeUnit.SECONDS);
    }
    return executor;
  }

  private void write(LoadReport report) throws IOException {
    if (reportFile != null) {
      new ObjectMapper()
          .enable(SerializationFeature.INDENT_OUTPUT)
          .writeValue(reportFile.toFile(), report);
    }
  }
}
