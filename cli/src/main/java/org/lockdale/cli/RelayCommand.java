package org.lockdale.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the latency that a node adds to requests and its cost of relaying streams. */
@Command(
    name = "relay",
    mixinStandardHelpOptions = true,
    description =
        "Measures what a node adds to the time to first token, against direct requests in the same"
            + " run, and what relaying costs it.")
final class RelayCommand implements Callable<Integer> {

  private static final int[] STREAMS = {1, 64, 1_024};
  private static final int WARM_UP_SECONDS = 5;

  /**
   * Maximum length of a response in tokens. At 33 ms a token, it ends before the deadline of the
   * requests' priority.
   */
  private static final int MAX_RESPONSE_TOKENS = 240;

  private static final double MICROS_PER_MILLI = 1_000;

  @Option(names = "--rate", defaultValue = "1000", description = "Requests a second.")
  private int rate;

  @Option(names = "--seconds", defaultValue = "10", description = "Default: ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(names = "--tokens", defaultValue = "30", description = "Tokens of a response.")
  private int tokens;

  @Override
  public Integer call() throws InterruptedException {
    QuietLogs.logWarningsOnly();
    try (LocalCluster cluster = LocalCluster.start(RelayExperiment.deployment(), 1)) {
      RelayExperiment experiment = new RelayExperiment(cluster);
      experiment.measureLatency(rate, WARM_UP_SECONDS, tokens);
      print(experiment.measureLatency(rate, seconds, tokens));
      for (int streams : STREAMS) {
        int length = Math.min(MAX_RESPONSE_TOKENS, Math.max(tokens, 8_000 / streams));
        RelayExperiment.RelayCost cost = experiment.measureRelay(streams, length);
        System.out.printf(
            "%5d streams: %8d tokens, %8.0f tokens/s a core, %6.0f bytes allocated a token%n",
            cost.streams(), cost.tokens(), cost.tokensPerCoreSecond(), cost.bytesPerToken());
      }
    }
    return ExitStatus.OK;
  }

  private void print(RelayExperiment.AddedLatency latency) {
    System.out.printf(
        "time to first token at %d requests/s, %d through the node:%n", rate, latency.requests());
    System.out.printf(
        "  direct p50 %.2f ms p99 %.2f ms, node p50 %.2f ms p99 %.2f ms, added p50 %.2f ms p99"
            + " %.2f ms%n",
        latency.directP50() / MICROS_PER_MILLI,
        latency.directP99() / MICROS_PER_MILLI,
        latency.nodeP50() / MICROS_PER_MILLI,
        latency.nodeP99() / MICROS_PER_MILLI,
        (latency.nodeP50() - latency.directP50()) / MICROS_PER_MILLI,
        (latency.nodeP99() - latency.directP99()) / MICROS_PER_MILLI);
  }
}
