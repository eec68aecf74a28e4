package org.lockdale.specification;

import static org.testng.Assert.assertEquals;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Executes every command of the specifications. A {@code check} must hold and a {@code run} must
 * find an instance. A {@code check} whose name begins with "without" removes a guard and must find
 * a counterexample, which shows that the guard is needed and that the property can fail.
 */
public final class SpecificationTest {

  private static final Path DIRECTORY = Path.of("src/main/resources/org/lockdale/specification");
  private static final String GUARD_REMOVED_PREFIX = "without";

  /** Returns the file and label of each command of all specifications. */
  @DataProvider
  public Object[][] commands() {
    List<Object[]> commands = new ArrayList<>();
    for (String file : List.of("run-once.als", "configuration.als", "lease.als")) {
      CompModule module = parse(file);
      for (Command command : module.getAllCommands()) {
        commands.add(new Object[] {file, command.label});
      }
    }
    return commands.toArray(Object[][]::new);
  }

  private static CompModule parse(String file) {
    return CompUtil.parseEverything_fromFile(
        A4Reporter.NOP, null, DIRECTORY.resolve(file).toString());
  }

  /** Each command finds an instance or a counterexample exactly when one is expected. */
  @Test(dataProvider = "commands")
  public void verdict(String file, String label) {
    CompModule module = parse(file);
    Command command =
        module.getAllCommands().stream()
            .filter(candidate -> candidate.label.equals(label))
            .findFirst()
            .orElseThrow();
    A4Options options = new A4Options();
    A4Solution solution =
        TranslateAlloyToKodkod.execute_command(
            A4Reporter.NOP, module.getAllReachableSigs(), command, options);
    boolean solutionExpected = !command.check || label.startsWith(GUARD_REMOVED_PREFIX);
    assertEquals(solution.satisfiable(), solutionExpected, file + " " + command);
  }
}
