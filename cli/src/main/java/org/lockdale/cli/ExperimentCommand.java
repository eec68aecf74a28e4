package org.lockdale.cli;

import picocli.CommandLine.Command;

/** Groups the experiments as subcommands. */
@Command(
    name = "experiment",
    mixinStandardHelpOptions = true,
    description = "Runs experiments in one process.",
    subcommands = {PlacementCommand.class, RelayCommand.class, ControlCommand.class})
final class ExperimentCommand {

  private ExperimentCommand() {}
}
