package org.lockdale.soak.judge;

import static org.lockdale.soak.judge.HistoryBuilder.sent;
import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/**
 * Guards against blaming nodes for delays of the soak itself. On a machine with four times as many
 * busy threads as cores, requests reached servers 0.6 to 0.9 s after their callers had left,
 * although the nodes logged {@code request-ended outcome=caller-left} after 1 to 75 ms: the soak's
 * proxy, which looks up the owner of each connection, and its servers were late.
 */
public final class LateArrivalTest {

  private static final long T = 100_000;
  private static final int REQUESTS = 4;
  private static final String SERVER = "server-1";
  private static final List<String> VIOLATED = List.of("GONE");

  private static HistoryBuilder lateArrivals() {
    HistoryBuilder history = new HistoryBuilder();
    for (int number = 0; number < REQUESTS; number++) {
      history.add(sent(T, "r" + number, RequestKind.SAFE));
      history.add(new Note.Left(T + 50, "r" + number));
      history.add(new Note.Arrived(T + 700, SERVER, "pool", "r" + number));
    }
    return history;
  }

  private static void addDelay(HistoryBuilder history, long from, long until, String what) {
    history.add(new Note.DisruptionBegan(from, 1_000, what, false));
    history.add(new Note.DisruptionEnded(until, 1_000));
  }

  private static List<String> violationsWithDelay(long from, long until, String what) {
    HistoryBuilder history = lateArrivals();
    addDelay(history, from, until, what);
    return history.violatedRules();
  }

  @Test
  public void lateArrivalsAreAViolation() {
    assertEquals(lateArrivals().violatedRules(), VIOLATED);
  }

  @Test
  public void delaysByTheProxyOrTheServerAreExcused() {
    assertEquals(violationsWithDelay(T + 20, T + 690, "node-1>" + SERVER), List.of());
    assertEquals(violationsWithDelay(T + 20, T + 690, History.PROXY), List.of());
    assertEquals(violationsWithDelay(T + 20, T + 690, History.stalledServer(SERVER)), List.of());
  }

  @Test
  public void delaysElsewhereOrAtAnotherTimeAreNotExcused() {
    assertEquals(violationsWithDelay(T + 20, T + 690, "node-2>" + SERVER), VIOLATED);
    assertEquals(violationsWithDelay(T + 20, T + 690, "node-1>another"), VIOLATED);
    assertEquals(violationsWithDelay(T - 900, T - 200, "node-1>" + SERVER), VIOLATED);
    assertEquals(violationsWithDelay(T + 720, T + 900, History.PROXY), VIOLATED);
  }
}
