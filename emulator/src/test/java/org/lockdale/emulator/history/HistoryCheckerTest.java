package org.lockdale.emulator.history;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.lockdale.emulator.engine.ResponseText;
import org.lockdale.emulator.history.HistoryEvent.CallEnd;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The checker reports a violation of each rule, and none for a valid history. */
public final class HistoryCheckerTest {

  private static final long PROMPT = 42;
  private static final int TOKENS = 4;
  private static final String COMPLETE_TEXT = ResponseText.completeText(PROMPT, TOKENS);
  private static final long SECOND = 1_000_000;

  private static HistoryEvent.Call call(CallEnd end, String key, String answer) {
    return new HistoryEvent.Call(
        1, "request", "tenant", "service", PROMPT, TOKENS, key, end, "", answer, 0, 1, 2);
  }

  private static HistoryEvent.Run run(String engine, String attempt, long atMicros) {
    return new HistoryEvent.Run(engine, "incarnation", attempt, PROMPT, 10, 0, 0, atMicros);
  }

  /** Histories that violate one rule each, with a part of the expected message. */
  @DataProvider
  public Object[][] invalidHistories() {
    HistoryEvent.Run run = run("e1", "request-1", 0);
    String other = ResponseText.completeText(PROMPT + 1, TOKENS);
    return new Object[][] {
      {
        List.of(call(CallEnd.COMPLETE, "k", COMPLETE_TEXT), run, run("e2", "x-1", 0)), "ran 2 times"
      },
      {List.of(call(CallEnd.NOT_RUN, "", ""), run), "ended as 'not run'"},
      {List.of(call(CallEnd.COMPLETE, "", COMPLETE_TEXT.substring(0, 6)), run), "cut short"},
      {List.of(call(CallEnd.COMPLETE, "", other), run), "not the expected one"},
      {List.of(call(CallEnd.BROKEN, "", other), run), "not a prefix of the expected one"},
      {List.of(new HistoryEvent.ForeignReuse("e1", 3)), "across tenant"},
      {
        List.of(new HistoryEvent.EngineLeaving("e1", "incarnation", 0), run("e1", "a", 6 * SECOND)),
        "announced as draining"
      },
      {
        List.of(
            new HistoryEvent.ConfigurationInForce("n1", 2, 0),
            new HistoryEvent.ConfigurationInForce("n1", 1, 1)),
        "went back"
      },
      {
        List.of(
            new HistoryEvent.ConfigurationInForce("n1", 1, 0),
            new HistoryEvent.ConfigurationAccepted(2, 0),
            new HistoryEvent.ConfigurationInForce("n1", 2, 5 * SECOND)),
        "not in force"
      },
    };
  }

  /** Each invalid history gives exactly the expected violation. */
  @Test(dataProvider = "invalidHistories")
  public void violationIsDetected(List<HistoryEvent> history, String reason) {
    Verdict verdict = HistoryChecker.check(history);
    assertEquals(verdict.violations().size(), 1, verdict.violations().toString());
    assertTrue(verdict.violations().get(0).contains(reason), verdict.violations().toString());
  }

  /** A valid history passes, also after it was written to a file and read back. */
  @Test
  public void validHistoryPasses() throws IOException {
    List<HistoryEvent> history = new ArrayList<>();
    history.add(run("e1", "request-1", 0));
    history.add(call(CallEnd.COMPLETE, "k", COMPLETE_TEXT));
    history.add(call(CallEnd.BROKEN, "k", COMPLETE_TEXT.substring(0, 5)));
    history.add(new HistoryEvent.EngineLeaving("e1", "incarnation", 0));
    history.add(new HistoryEvent.ConfigurationInForce("n1", 1, 0));
    history.add(new HistoryEvent.ConfigurationAccepted(1, 0));
    Path file = Files.createTempFile("history", ".jsonl");
    try {
      HistoryFile.write(file, history);
      assertEquals(HistoryFile.read(file), history);
      assertTrue(HistoryChecker.check(HistoryFile.read(file)).passed());
    } finally {
      Files.delete(file);
    }
  }
}
