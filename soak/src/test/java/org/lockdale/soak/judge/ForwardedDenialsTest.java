package org.lockdale.soak.judge;

import static org.lockdale.soak.judge.HistoryBuilder.KEY;
import static org.lockdale.soak.judge.HistoryBuilder.OTHER_KEY;
import static org.lockdale.soak.judge.HistoryBuilder.answered;
import static org.lockdale.soak.judge.HistoryBuilder.begun;
import static org.lockdale.soak.judge.HistoryBuilder.begunWith;
import static org.lockdale.soak.judge.HistoryBuilder.facts;
import static org.lockdale.soak.judge.HistoryBuilder.routes;
import static org.lockdale.soak.judge.HistoryBuilder.sent;
import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A node with an older configuration forwards a request to a node that denies it by a newer one,
 * and handles the next request by the older one.
 */
public final class ForwardedDenialsTest {

  private static final long T = 100_000;
  private static final long NEXT = T + 500;

  /** Returns a history in which version 2 removes the key and moves the route. */
  private static HistoryBuilder history() {
    return new HistoryBuilder().configuration(2, T, routes("other"), Map.of(OTHER_KEY, "tenant-2"));
  }

  /** A request that only version 2 denies is denied at node-1. */
  private static HistoryBuilder denied() {
    return history()
        .add(sent(T + 100, "denied", RequestKind.SAFE))
        .add(answered(T + 110, "denied", 401, null, ""));
  }

  private static Note.Forwarded forwarded(String node, String request) {
    return new Note.Forwarded(T + 102, node, request);
  }

  /** Adds a request that only version 1 lets run. */
  private static HistoryBuilder servedByFormer(HistoryBuilder history) {
    return history
        .add(sent(NEXT, "next", RequestKind.SAFE))
        .add(begun(NEXT + 10, "next", "run-next"));
  }

  /** A request runs that node-1 has forwarded, at the service that only version 2 gives it. */
  private static HistoryBuilder ranForwarded() {
    return new HistoryBuilder()
        .configuration(2, T, routes("other"), Map.of(KEY, "tenant-1", OTHER_KEY, "tenant-2"))
        .add(sent(T + 100, "moved", RequestKind.SAFE))
        .add(forwarded("node-1", "moved"))
        .add(begunWith(T + 110, "moved", "run-moved", facts(), "other", "tenant-1", 0));
  }

  /** Node-1 itself serves by version 3, then passes on what only versions before it deny. */
  private static HistoryBuilder deniedByOlderNode() {
    return new HistoryBuilder()
        .configuration(2, T, routes("pool"), Map.of(OTHER_KEY, "tenant-2"))
        .configuration(3, T + 50, routes("other"), Map.of(KEY, "tenant-1", OTHER_KEY, "tenant-2"))
        .add(sent(T + 100, "moved", RequestKind.SAFE))
        .add(begunWith(T + 110, "moved", "run-moved", facts(), "other", "tenant-1", 0))
        .add(sent(NEXT, "next", RequestKind.SAFE))
        .add(forwarded("node-1", "next"))
        .add(answered(NEXT + 10, "next", 401, null, ""));
  }

  @DataProvider
  public static Object[][] regressions() {
    return new Object[][] {
      {"the node itself denies it", servedByFormer(denied())},
      {
        "another node has forwarded the request to it",
        servedByFormer(denied().add(forwarded("node-2", "denied")))
      },
      {"another request was forwarded", servedByFormer(denied().add(forwarded("node-1", "other")))},
      {"a server has run the forwarded request", servedByFormer(ranForwarded())},
      {"a forwarded request is denied by an older configuration", deniedByOlderNode()},
    };
  }

  @Test(dataProvider = "regressions")
  public void returnToAnOlderConfigurationIsDetected(String what, HistoryBuilder history) {
    assertEquals(history.violatedRules(), List.of("CONFIG"), what);
  }

  @Test
  public void theDenialOfAnotherNodeIsNotTakenForThatOfTheNodeThatPassesItOn() {
    HistoryBuilder history = denied().add(forwarded("node-1", "denied"));
    assertEquals(servedByFormer(history).violatedRules(), List.of());
  }
}
