package org.lockdale.cli;

import org.lockdale.http.HttpBindException;
import org.lockdale.router.peer.PeerBindException;
import org.lockdale.settings.SettingsException;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The {@code lockdale} command with its subcommands. */
@Command(
    name = "lockdale",
    version = "lockdale 0.1.0",
    mixinStandardHelpOptions = true,
    description = "A router for language-model traffic with long shared prompts.",
    subcommands = {
      NodeCommand.class,
      ApplyCommand.class,
      GetCommand.class,
      DiffCommand.class,
      LabelCommand.class,
      StatusCommand.class,
      ExplainCommand.class,
      HashKeyCommand.class,
      PlatformCommand.class,
      EngineCommand.class,
      LoadCommand.class,
      ExperimentCommand.class,
      DemoCommand.class,
      CheckHistoryCommand.class
    })
public final class Lockdale {

  private Lockdale() {}

  /** Runs the command and exits with its status. */
  public static void main(String[] arguments) {
    System.exit(commandLine().execute(arguments));
  }

  static CommandLine commandLine() {
    return new CommandLine(new Lockdale())
        .setExecutionExceptionHandler(
            (failure, command, parsed) -> {
              command.getErr().println(command.getColorScheme().errorText(messageOf(failure)));
              return statusOf(failure);
            });
  }

  private static String messageOf(Exception failure) {
    boolean expected =
        statusOf(failure) == ExitStatus.USAGE || failure instanceof OperatorException;
    return expected ? failure.getMessage() : failure.toString();
  }

  private static int statusOf(Exception failure) {
    boolean usage =
        failure instanceof SettingsException
            || failure instanceof HttpBindException
            || failure instanceof PeerBindException;
    return usage ? ExitStatus.USAGE : ExitStatus.FAILED;
  }
}
