package org.lockdale.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.lockdale.emulator.history.HistoryChecker;
import org.lockdale.emulator.history.HistoryEvent;
import org.lockdale.emulator.history.HistoryFile;
import org.lockdale.emulator.history.Verdict;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks recorded histories against the guarantees of the router. */
@Command(
    name = "check-history",
    mixinStandardHelpOptions = true,
    description =
        "Checks the history in one or more files; exit status 0 if no guarantee is violated.")
final class CheckHistoryCommand implements Callable<Integer> {

  @Parameters(paramLabel = "FILE", arity = "1..*", description = "History, one event a line.")
  private List<Path> files;

  @Override
  public Integer call() throws IOException {
    List<HistoryEvent> history = new ArrayList<>();
    for (Path file : files) {
      history.addAll(HistoryFile.read(file));
    }
    Verdict verdict = HistoryChecker.check(history);
    ReportPrinter.print(verdict);
    return verdict.passed() ? ExitStatus.OK : ExitStatus.FAILED;
  }
}
