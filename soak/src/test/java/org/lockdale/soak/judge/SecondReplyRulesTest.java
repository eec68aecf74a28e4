package org.lockdale.soak.judge;

import static org.lockdale.soak.judge.HistoryBuilder.answered;
import static org.lockdale.soak.judge.HistoryBuilder.begun;
import static org.lockdale.soak.judge.HistoryBuilder.sent;
import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that a reply that belongs elsewhere is told from the reply that the server made. */
public final class SecondReplyRulesTest {

  private static final long T = 100_000;
  private static final String FIRST = piece(1, "run-1", false);
  private static final String LAST = piece(2, "run-1", true);

  @DataProvider
  public static Object[][] wrongHistories() {
    return new Object[][] {
      {"a success after the server's failure", single(500, 200, "answer", true)},
      {"a failure after the server's success", single(200, 500, "answer", true)},
      {"a failure with another body", single(500, 500, "other", true)},
      {"an incomplete body that the server did not begin", single(200, 200, "bns", false)},
      {"an incomplete failure that the server did not write", single(500, 500, "bns", false)},
      {"the body of another run of the request", twoRuns("run-1")},
      {"the first send's response to the second send", twoSends("run-1")},
      {"a complete response of a run that goes on", unended(RequestKind.SAFE, true)},
      {"a marked response", marked()},
      {"an event of another request's run", foreignEvent("q")},
      {"an event that the server did not write", stream(FIRST, FIRST + LAST, true)},
      {"a comment that the server did not write", stream(FIRST + LAST, ": x\n" + FIRST, false)},
      {
        "a complete stream with a comment that the server did not write",
        stream(FIRST + LAST, FIRST + ": x\n" + LAST, true)
      },
      {"an order without that reply", order(202, 7, "ALREADY_HELD", 20)},
      {"an order with another order's reply", order(200, 6, "ALREADY_HELD", 20)},
      {"an order with a reply long before", order(200, 7, "ALREADY_HELD", 2_100)},
      {
        "a call after which a second reply was taken",
        new HistoryBuilder().add(new Note.SecondReplyUsed(T, "server-1", "/report", "shows it"))
      },
    };
  }

  @Test(dataProvider = "wrongHistories")
  public void aReplyThatBelongsElsewhereIsDetected(String what, HistoryBuilder history) {
    assertEquals(history.violatedRules(), List.of("MIXED"), what);
  }

  @DataProvider
  public static Object[][] rightHistories() {
    return new Object[][] {
      {"the server's failure", single(500, 500, "answer", true)},
      {"the start of the server's body", single(200, 200, "ans", false)},
      {"the body of the run that signed it", twoRuns("run-2")},
      {"the second send's response to the second send", twoSends("run-2")},
      {"an incomplete response of a run that goes on", unended(RequestKind.SAFE, false)},
      {"a response that another run completed", unended(RequestKind.RESUMABLE, true)},
      {"a stream whose server crashed after its last event", crashedAtTheEnd()},
      {"an event of a run of the request", foreignEvent("r")},
      {"the server's events", stream(FIRST + LAST, FIRST + LAST, true)},
      {"the first events and a part of one", stream(FIRST + LAST, FIRST + "id: 2\nda", false)},
      {"an event of the run that continues", continued()},
      {"an order with its reply", order(202, 7, "ACCEPTED", 20)},
      {"an order without a known reply", order(202, 7, "UNKNOWN", 20)},
      {
        "a second reply that nobody took",
        single(200, 200, "answer", true)
            .add(new Note.AnsweredAgain(T + 60, "server-1", "r", 500, false, 10))
      },
    };
  }

  @Test(dataProvider = "rightHistories")
  public void aReplyOfTheRequestsOwnRunPasses(String what, HistoryBuilder history) {
    assertEquals(history.violatedRules(), List.of(), what);
  }

  @Test
  public void overdueRequestsAndSecondRepliesAreCounted() {
    History history = new History(Bounds.standard());
    List.of(
            sent(T, "late", RequestKind.SAFE),
            begun(T + 5, "late", "run-1"),
            new Note.Ended(T + 10, "run-1", 200, "answer", true),
            answered(T + 1_010, "late", 504, null, ""),
            sent(T, "soon", RequestKind.SAFE),
            begun(T + 5, "soon", "run-2"),
            new Note.Ended(T + 10, "run-2", 200, "answer", true),
            answered(T + 1_009, "soon", 200, "run-2", "answer"),
            new Note.AnsweredAgain(T, "server-1", "soon", 500, false, 10),
            new Note.AnsweredAgain(T, "server-1", "/report", 500, true, 0))
        .forEach(history::add);
    assertEquals(SecondReplyCounts.of(history), new SecondReplyCounts(1, 1, 1));
  }

  @Test
  public void eachSendUnderOneIdHasItsOwnNotes() {
    assertEquals(RequestIds.noteId("r", 1), "r");
    assertEquals(RequestIds.noteId("r", 3), "r#3");
    assertEquals(RequestIds.idOf("r#3"), "r");
    assertEquals(RequestIds.idOf("r"), "r");
  }

  private static String piece(int id, String run, boolean last) {
    return new StreamPiece(id, run, last).text();
  }

  private static HistoryBuilder single(int made, int received, String body, boolean whole) {
    return new HistoryBuilder()
        .add(sent(T, "r", RequestKind.SAFE))
        .add(begun(T + 5, "r", "run-1"))
        .add(new Note.Ended(T + 50, "run-1", made, "answer", true))
        .add(new Note.Answered(T + 55, "r", received, "run-1", body, whole));
  }

  private static HistoryBuilder twoRuns(String bodyOf) {
    return new HistoryBuilder()
        .add(sent(T, "r", RequestKind.SAFE))
        .add(begun(T + 5, "r", "run-1"))
        .add(new Note.Ended(T + 50, "run-1", 200, "answer of run-1", true))
        .add(begun(T + 60, "r", "run-2"))
        .add(new Note.Ended(T + 90, "run-2", 200, "answer of run-2", true))
        .add(answered(T + 95, "r", 200, "run-2", "answer of " + bodyOf));
  }

  private static HistoryBuilder twoSends(String received) {
    return new HistoryBuilder()
        .add(sent(T, "r", RequestKind.SAFE))
        .add(begun(T + 5, "r", "run-1"))
        .add(new Note.Ended(T + 50, "run-1", 500, "answer", true))
        .add(answered(T + 55, "r", 500, "run-1", "answer"))
        .add(sent(T + 60, "r#2", RequestKind.SAFE))
        .add(begun(T + 65, "r#2", "run-2"))
        .add(new Note.Ended(T + 90, "run-2", 500, "answer", true))
        .add(answered(T + 95, "r#2", 500, received, "answer"));
  }

  private static HistoryBuilder unended(RequestKind kind, boolean whole) {
    String body = kind.isStreaming() ? piece(1, "run-2", true) : "answer";
    HistoryBuilder history =
        new HistoryBuilder().add(sent(T, "r", kind)).add(begun(T + 5, "r", "run-1"));
    if (kind.isStreaming()) {
      history.add(begun(T + 20, "r", "run-2"));
      history.add(new Note.Ended(T + 50, "run-2", 200, body, true));
    }
    return history.add(new Note.Answered(T + 55, "r", 200, "run-1", body, whole));
  }

  private static HistoryBuilder crashedAtTheEnd() {
    return new HistoryBuilder()
        .add(sent(T, "r", RequestKind.STREAM))
        .add(begun(T + 5, "r", "run-1"))
        .add(answered(T + 55, "r", 200, "run-1", FIRST + LAST));
  }

  private static HistoryBuilder marked() {
    return new HistoryBuilder()
        .add(sent(T, "r", RequestKind.SAFE))
        .add(answered(T + 55, "r", 502, null, ""))
        .add(new Note.ForeignReply(T + 55, "r", "status 502, the second reply of run-1"));
  }

  private static HistoryBuilder foreignEvent(String request) {
    String body = piece(1, "run-2", true);
    return new HistoryBuilder()
        .add(sent(T, "r", RequestKind.RESUMABLE))
        .add(begun(T + 5, "r", "run-1"))
        .add(sent(T, request, RequestKind.RESUMABLE))
        .add(begun(T + 5, request, "run-2"))
        .add(new Note.Ended(T + 40, "run-1", 200, "", false))
        .add(new Note.Ended(T + 50, "run-2", 200, body, true))
        .add(answered(T + 55, "r", 200, "run-1", body));
  }

  private static HistoryBuilder stream(String made, String received, boolean whole) {
    return new HistoryBuilder()
        .add(sent(T, "r", RequestKind.STREAM))
        .add(begun(T + 5, "r", "run-1"))
        .add(new Note.Ended(T + 50, "run-1", 200, made, true))
        .add(new Note.Answered(T + 55, "r", 200, "run-1", received, whole));
  }

  private static HistoryBuilder continued() {
    String body = piece(1, "run-2", true);
    return new HistoryBuilder()
        .add(sent(T, "r", RequestKind.RESUMABLE))
        .add(begun(T + 5, "r", "run-1"))
        .add(new Note.Ended(T + 20, "run-1", 200, "", false))
        .add(begun(T + 25, "r", "run-2"))
        .add(new Note.Ended(T + 50, "run-2", 200, body, true))
        .add(answered(T + 55, "r", 200, "run-1", body));
  }

  private static HistoryBuilder order(int status, long version, String outcome, long delayMillis) {
    return new HistoryBuilder()
        .add(new Note.OrderAnswered(T, "server-1", version, status))
        .add(new Note.OrderLogged(T + delayMillis, "node-1", "server-1", 7, outcome));
  }
}
