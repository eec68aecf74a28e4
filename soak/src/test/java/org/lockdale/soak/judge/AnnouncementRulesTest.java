package org.lockdale.soak.judge;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Checks what may reach servers that announce draining or request a backoff in responses. */
public final class AnnouncementRulesTest {

  private static final long T = 100_000;
  private static final String SERVER = "server-1";

  /**
   * Returns a history in which a server announced to a node that it drains, in a response that was
   * forwarded to the caller or not.
   */
  private static HistoryBuilder draining(boolean forwarded) {
    HistoryBuilder history = new HistoryBuilder();
    history.add(HistoryBuilder.sentTo("node-1", T - 20, "told", RequestKind.SAFE));
    history.add(new Note.Arrived(T - 15, SERVER, "pool", "told"));
    history.add(new Note.LeavingTold(T - 10, SERVER, "told"));
    String signature = forwarded ? SERVER + "/1" : "server-2/1";
    history.add(HistoryBuilder.answered(T, "told", 200, signature, ""));
    return history;
  }

  private static HistoryBuilder withLaterRequest(
      HistoryBuilder history, String node, long sentAt, long arrivedAt) {
    history.add(HistoryBuilder.sentTo(node, sentAt, "later", RequestKind.SAFE));
    return history.add(new Note.Arrived(arrivedAt, SERVER, "pool", "later"));
  }

  private static boolean violatesDrain(HistoryBuilder history) {
    return history.violatedRules().contains("DRAIN");
  }

  @Test
  public void requestsSentAfterTheBoundAreAViolation() {
    assertEquals(
        violatesDrain(withLaterRequest(draining(true), "node-1", T + 2_000, T + 2_900)), false);
    assertEquals(
        violatesDrain(withLaterRequest(draining(true), "node-1", T + 2_001, T + 2_010)), true);
  }

  @Test
  public void nodesWithoutAForwardedAnnouncementAreNotBound() {
    assertEquals(
        violatesDrain(withLaterRequest(draining(false), "node-1", T + 5_000, T + 5_010)), false);
    assertEquals(
        violatesDrain(withLaterRequest(draining(true), "node-2", T + 5_000, T + 5_010)), false);
  }

  @Test
  public void restartsAndPausesExcuseADrainViolationButPartitionsDoNot() {
    HistoryBuilder frozen = withLaterRequest(draining(true), "node-1", T + 5_000, T + 5_010);
    assertEquals(
        violatesDrain(frozen.add(new Note.DisruptionBegan(T + 500, 7, "node-1", false))), false);
    HistoryBuilder started = withLaterRequest(draining(true), "node-1", T + 5_000, T + 5_010);
    assertEquals(violatesDrain(started.add(new Note.Started(T + 700, "node-1"))), false);
    HistoryBuilder cut = withLaterRequest(draining(true), "node-1", T + 5_000, T + 5_010);
    assertEquals(
        violatesDrain(cut.add(new Note.DisruptionBegan(T + 500, 7, "node-1", true))), true);
  }

  /** Returns a history in which a node received a backoff of 3 s and sent requests after a time. */
  private static HistoryBuilder backingOff(int requests, long afterMillis) {
    HistoryBuilder history = new HistoryBuilder();
    history.add(HistoryBuilder.sentTo("node-1", T - 5, "told", RequestKind.SAFE));
    history.add(new Note.RestTold(T, SERVER, "told", 3_000));
    for (int request = 0; request < requests; request++) {
      history.add(
          HistoryBuilder.sentTo("node-1", T + afterMillis, "r" + request, RequestKind.SAFE));
      history.add(new Note.Arrived(T + afterMillis, SERVER, "pool", "r" + request));
    }
    return history;
  }

  private static boolean violatesBudget(HistoryBuilder history) {
    return history.violatedRules().contains("BUDGET");
  }

  @Test
  public void moreThanTwoRequestsInABackoffAreAViolation() {
    assertEquals(violatesBudget(backingOff(2, 1_000)), false);
    assertEquals(violatesBudget(backingOff(3, 1_000)), true);
  }

  @Test
  public void requestsSentAtOnceOrAfterTheBackoffAreNotCounted() {
    assertEquals(violatesBudget(backingOff(9, 499)), false);
    assertEquals(violatesBudget(backingOff(9, 3_000)), false);
  }

  @Test
  public void partitionsExcuseABackoffViolation() {
    HistoryBuilder cut =
        backingOff(3, 1_000).add(new Note.DisruptionBegan(T + 100, 7, "node-1", true));
    assertEquals(violatesBudget(cut), false);
  }
}
