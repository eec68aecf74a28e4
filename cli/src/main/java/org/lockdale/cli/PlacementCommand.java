package org.lockdale.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.jspecify.annotations.Nullable;
import org.lockdale.experiments.PlacementResult;
import org.lockdale.experiments.PlacementSimulation;
import org.lockdale.experiments.Scenario;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a scenario under several placement policies and compares their results. */
@Command(
    name = "run",
    mixinStandardHelpOptions = true,
    description =
        "Runs a scenario under several placement policies on a virtual clock and prints the three"
            + " measures as mean and 95% confidence interval over seeds.")
final class PlacementCommand implements Callable<Integer> {

  private static final double NORMAL_95 = 1.96;
  private static final double PERCENT = 100;

  @Option(names = "--scenario", defaultValue = "gift-cards", description = "Name or file.")
  private String scenarioName;

  @Option(
      names = "--policy",
      split = ",",
      defaultValue = "lockdale,round-robin,least-loaded,two-choices,consistent-hash,oracle",
      description = "Default: ${DEFAULT-VALUE}.")
  private List<String> policies;

  @Option(names = "--seeds", defaultValue = "5", description = "Number of seeds, from 1.")
  private int seeds;

  @Option(names = "--rate", description = "Requests a second (default: the scenario's).")
  private @Nullable Double rate;

  @Option(names = "--report", paramLabel = "FILE.json", description = "Writes all results.")
  private @Nullable Path reportFile;

  @Override
  public Integer call() throws IOException {
    Scenario scenario = Scenario.load(scenarioName);
    if (rate != null) {
      scenario = scenario.withRate(rate);
    }
    System.out.printf(
        "%s, %.0f requests/s, %d engines, seeds 1 to %d%n%n",
        scenarioName,
        scenario.requestsPerSecond(),
        scenario.engines().stream().mapToInt(Integer::intValue).sum(),
        seeds);
    System.out.printf(
        "%-16s %14s %14s %16s %16s %16s %8s%n",
        "POLICY",
        "HIT RATE %",
        "WASTED %",
        "URGENT P50 MS",
        "URGENT P99 MS",
        "PATIENT P99",
        "REFUSED");
    Map<String, List<PlacementResult>> all = new TreeMap<>();
    for (String policy : policies) {
      Scenario fixed = scenario;
      List<PlacementResult> results =
          LongStream.rangeClosed(1, seeds)
              .parallel()
              .mapToObj(seed -> PlacementSimulation.run(fixed, policy, seed))
              .toList();
      all.put(policy, results);
      print(policy, results);
    }
    if (reportFile != null) {
      new ObjectMapper()
          .enable(SerializationFeature.INDENT_OUTPUT)
          .writeValue(reportFile.toFile(), all);
    }
    return ExitStatus.OK;
  }

  private static void print(String policy, List<PlacementResult> results) {
    System.out.printf(
        "%-16s %14s %14s %16s %16s %16s %8d%n",
        policy,
        confidenceInterval(results, result -> result.prefixHitRate() * PERCENT),
        confidenceInterval(results, result -> result.wastedShare() * PERCENT),
        confidenceInterval(results, PlacementResult::urgentP50),
        confidenceInterval(results, PlacementResult::urgentP99),
        confidenceInterval(results, PlacementResult::patientP99),
        results.stream().mapToInt(PlacementResult::refused).sum());
  }

  private static String confidenceInterval(
      List<PlacementResult> results, ToDoubleFunction<PlacementResult> figure) {
    double mean = results.stream().mapToDouble(figure).average().orElse(0);
    double squares =
        results.stream().mapToDouble(figure).map(value -> (value - mean) * (value - mean)).sum();
    int count = results.size();
    double half = count < 2 ? 0 : NORMAL_95 * Math.sqrt(squares / (count - 1) / count);
    return String.format(Locale.ROOT, "%.1f ± %.1f", mean, half);
  }
}
