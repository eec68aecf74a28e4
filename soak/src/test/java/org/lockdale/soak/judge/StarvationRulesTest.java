package org.lockdale.soak.judge;

import static org.lockdale.soak.judge.HistoryBuilder.KEY;
import static org.lockdale.soak.judge.HistoryBuilder.facts;
import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks rule STARVED, which compares a request that is the same each time with all others. */
public final class StarvationRulesTest {

  private static final long T = 100_000;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final int REQUESTS = 100;
  private static final long DISRUPTION = 7;

  private static RequestFacts repeated() {
    return new RequestFacts("POST", RequestFacts.REPEATED_PATH, "same", null, null, null);
  }

  private static void add(
      HistoryBuilder history, long at, String id, RequestFacts facts, int status) {
    history.add(new Note.Sent(at, id, "node-1", RequestKind.STREAM, facts, KEY, 4_000, 0));
    history.add(new Note.Answered(at + 20, id, status, null, "", true));
  }

  /** Returns a history in which servers are back at {@code T} and all other requests are served. */
  private static HistoryBuilder afterCrashes(long firstSentMillis, int servedRepeats) {
    HistoryBuilder history = new HistoryBuilder();
    history.add(new Note.DisruptionBegan(T - 3_000, DISRUPTION, "engine-1", false));
    history.add(new Note.DisruptionEnded(T, DISRUPTION));
    for (int number = 0; number < REQUESTS; number++) {
      long at = firstSentMillis + number;
      add(history, at, "other-" + number, facts(), 200);
      add(history, at, "same-" + number, repeated(), number < servedRepeats ? 200 : 503);
    }
    return history;
  }

  @DataProvider
  public Object[][] histories() {
    long recovered = T + RECOVERY_MILLIS;
    return new Object[][] {
      {afterCrashes(recovered, 0), true},
      {afterCrashes(recovered, 10), true},
      {afterCrashes(recovered, 40), false},
      {afterCrashes(recovered, REQUESTS), false},
      {afterCrashes(T, 0), false},
    };
  }

  @Test(dataProvider = "histories")
  public void aRepeatedRequestThatIsHardlyServedOnceServersAreBackBreaksTheRule(
      HistoryBuilder history, boolean isBroken) {
    assertEquals(history.violatedRules().contains("STARVED"), isBroken);
  }
}
