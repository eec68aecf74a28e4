package org.lockdale.cli;

import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Option;

/** Options for the workload, its request rate, duration and seed. */
final class WorkloadOptions {

  @Option(names = "--seconds", defaultValue = "10", description = "Default: ${DEFAULT-VALUE}.")
  double seconds;

  @Option(
      names = "--workload",
      defaultValue = "gift-cards",
      description = "gift-cards or canal-hire (default: ${DEFAULT-VALUE}).")
  String workload;

  @Option(names = "--rate", description = "Requests a second (default: the workload's).")
  @Nullable Double rate;

  @Option(names = "--seed", defaultValue = "1", description = "Default: ${DEFAULT-VALUE}.")
  long seed;

  double rateOf(Deployment deployment) {
    return rate == null ? deployment.workload().moderateRate() : rate;
  }
}
