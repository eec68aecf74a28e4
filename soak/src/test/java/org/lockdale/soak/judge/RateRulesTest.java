package org.lockdale.soak.judge;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Checks rule LIMIT with a rate of two per second, which allows 17 requests in four seconds. */
public final class RateRulesTest {

  private static final long T = 100_000;
  private static final String SERVER = "server-1";

  /**
   * Returns a history of requests of two nodes that received the rate, one every 200 ms starting a
   * second later.
   */
  private static HistoryBuilder history(int requests) {
    HistoryBuilder history = new HistoryBuilder();
    history.add(new Note.RateNamed(T, SERVER, 2.0));
    for (String node : List.of("node-1", "node-2")) {
      history.add(HistoryBuilder.sentTo(node, T, "told-" + node, RequestKind.SAFE));
      history.add(new Note.RateTold(T, SERVER, "told-" + node));
    }
    for (int request = 0; request < requests; request++) {
      String id = "r" + request;
      long at = T + 1_000 + request * 200L;
      history.add(
          HistoryBuilder.sentTo(request % 2 == 0 ? "node-1" : "node-2", at, id, RequestKind.SAFE));
      history.add(new Note.Arrived(at, SERVER, "pool", id));
    }
    return history;
  }

  private static boolean violatesLimit(HistoryBuilder history) {
    return history.violatedRules().contains("LIMIT");
  }

  @Test
  public void moreThanAllowedInFourSecondsIsAViolation() {
    assertEquals(violatesLimit(history(17)), false);
    assertEquals(violatesLimit(history(18)), true);
  }

  @Test
  public void uninformedOrDisruptedNodesAreNotBound() {
    assertEquals(
        violatesLimit(history(18).add(new Note.DisruptionBegan(T + 500, 7, "node-1", false))),
        false);
    HistoryBuilder uninformed = new HistoryBuilder().add(new Note.RateNamed(T, SERVER, 2.0));
    for (int request = 0; request < 30; request++) {
      uninformed.add(HistoryBuilder.sent(T + 1_000, "r" + request, RequestKind.SAFE));
      uninformed.add(new Note.Arrived(T + 3_500, SERVER, "pool", "r" + request));
    }
    assertEquals(violatesLimit(uninformed), false);
  }

  /**
   * A server advertised a rate again 13 s after it had withdrawn it, and nothing was sent to it in
   * between; seven requests were in flight when the first response with the new rate arrived. The
   * previous rate must not be applied to them.
   */
  @Test
  public void ratesFromBeforeAPauseDoNotApplyAfterIt() {
    HistoryBuilder history = new HistoryBuilder();
    history.add(new Note.RateNamed(T - 50_000, SERVER, 2.0));
    history.add(new Note.RateNamed(T - 40_000, SERVER, null));
    history.add(new Note.RateNamed(T, SERVER, 2.0));
    history.add(HistoryBuilder.sentTo("node-1", T - 45_000, "told-before", RequestKind.SAFE));
    history.add(new Note.RateTold(T - 45_000, SERVER, "told-before"));
    for (int request = 0; request < 18; request++) {
      String id = "r" + request;
      history.add(HistoryBuilder.sentTo("node-1", T + 4_000, id, RequestKind.SAFE));
      history.add(new Note.Arrived(T + 4_100 + request, SERVER, "pool", id));
    }
    assertEquals(violatesLimit(history), false);
    history.add(HistoryBuilder.sentTo("node-1", T + 3_000, "told-again", RequestKind.SAFE));
    history.add(new Note.RateTold(T + 3_100, SERVER, "told-again"));
    assertEquals(violatesLimit(history), true);
  }

  @Test
  public void withdrawnRatesAreNotChecked() {
    assertEquals(
        violatesLimit(history(18).add(new Note.RateNamed(T + 2_000, SERVER, null))), false);
  }
}
