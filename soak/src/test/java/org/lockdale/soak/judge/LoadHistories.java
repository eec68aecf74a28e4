package org.lockdale.soak.judge;

import static org.lockdale.soak.judge.HistoryBuilder.answered;
import static org.lockdale.soak.judge.HistoryBuilder.begun;
import static org.lockdale.soak.judge.HistoryBuilder.facts;
import static org.lockdale.soak.judge.HistoryBuilder.sent;

/** Histories of the load on servers: repeated sends, crashes, deadlines, callers that left. */
final class LoadHistories {

  private static final long T = 100_000;

  private LoadHistories() {}

  static HistoryBuilder repeats(int count) {
    HistoryBuilder history = new HistoryBuilder().withBounds(Bounds.standard().withRetrySlack(10));
    for (int number = 0; number < count; number++) {
      history.add(sent(T, "r" + number, RequestKind.SAFE));
      history.add(new Note.Arrived(T + 5, "server-1", "pool", "r" + number));
      history.add(new Note.Arrived(T + 50, "server-2", "pool", "r" + number));
      history.add(answered(T + 90, "r" + number, 502, null, ""));
    }
    return history;
  }

  /** Returns a history of a request that crashes three servers and is sent again after a time. */
  static HistoryBuilder crashing(int retries, long afterMillis) {
    HistoryBuilder history = new HistoryBuilder();
    for (int end = 0; end < 3; end++) {
      history.add(sent(T, "e" + end, RequestKind.STREAM));
      history.add(new Note.Arrived(T + 1, "server-" + end, "pool", "e" + end));
      history.add(new Note.Crashed(T + 50, "server-" + end, "e" + end));
    }
    for (int retry = 0; retry < retries; retry++) {
      history.add(sent(T + 50 + afterMillis, "r" + retry, RequestKind.STREAM));
      history.add(new Note.Arrived(T + 51 + afterMillis, "server-9", "pool", "r" + retry));
    }
    return history;
  }

  /**
   * Returns a history of unlike requests with the crashing part, which crash servers, and of more
   * of them that are sent after a time.
   */
  static HistoryBuilder crashingPart(int crashes, int later, long afterMillis) {
    HistoryBuilder history = new HistoryBuilder();
    for (int crash = 0; crash < crashes; crash++) {
      history.add(sentWithCrashingPart(T, "e" + crash));
      history.add(new Note.Arrived(T + 1, "server-" + crash, "pool", "e" + crash));
      history.add(new Note.Crashed(T + 50, "server-" + crash, "e" + crash));
    }
    for (int request = 0; request < later; request++) {
      history.add(sentWithCrashingPart(T + 50 + afterMillis, "r" + request));
      history.add(new Note.Arrived(T + 51 + afterMillis, "server-9", "pool", "r" + request));
    }
    return history;
  }

  private static Note.Sent sentWithCrashingPart(long atMillis, String id) {
    Note.Sent sent = sent(atMillis, id, RequestKind.STREAM);
    RequestFacts facts =
        new RequestFacts(
            "POST",
            "/stream/" + id,
            "body of " + id,
            "model",
            "0000:10," + RequestFacts.CRASHING_PART + ":10," + id + ":10",
            "30,80");
    return new Note.Sent(
        atMillis,
        id,
        sent.node(),
        sent.kind(),
        facts,
        sent.key(),
        sent.deadlineMillis(),
        sent.lastEventId());
  }

  /** Returns a history in which a node reports a server as alive some time after it crashed. */
  static HistoryBuilder aliveAfterCrash(String server, long afterMillis) {
    HistoryBuilder history = crashing(0, 0);
    history.add(new Note.SaidToLive(T + 50 + afterMillis, "node-1", server));
    return history;
  }

  static HistoryBuilder attempts(int requests, int servers) {
    HistoryBuilder history = new HistoryBuilder();
    for (int number = 0; number < requests; number++) {
      String id = "r" + number;
      history.add(sent(T, id, RequestKind.SAFE));
      for (int server = 0; server < servers; server++) {
        history.add(
            new Note.Begun(
                T + server,
                "server-" + server,
                "pool",
                id,
                id + "-" + server,
                facts(),
                "tenant-1",
                0,
                7_000,
                3_000,
                0));
      }
    }
    return history;
  }

  static HistoryBuilder deadlines(int requests, long given) {
    HistoryBuilder history = new HistoryBuilder();
    for (int number = 0; number < requests; number++) {
      String id = "r" + number;
      history.add(sent(T, id, RequestKind.SAFE));
      history.add(
          new Note.Begun(
              T + 5, "server-1", "pool", id, id + "-1", facts(), "tenant-1", 0, given, 3_000, 0));
      history.add(answered(T + 90, id, 502, null, ""));
    }
    return history;
  }

  static HistoryBuilder sentAfterClose(int requests) {
    HistoryBuilder history = new HistoryBuilder();
    for (int number = 0; number < requests; number++) {
      history.add(sent(T, "r" + number, RequestKind.SAFE));
      history.add(new Note.Left(T + 50, "r" + number));
      history.add(new Note.Arrived(T + 600, "server-1", "pool", "r" + number));
    }
    return history;
  }

  static HistoryBuilder runningAfterClose(int requests, long after) {
    HistoryBuilder history = new HistoryBuilder();
    for (int number = 0; number < requests; number++) {
      String run = "run-" + number;
      history.add(sent(T, "r" + number, RequestKind.RESUMABLE));
      history.add(begun(T + 5, "r" + number, run));
      history.add(new Note.Left(T + 50, "r" + number));
      history.add(new Note.Ended(T + 50 + after, run, 200, "", false));
    }
    return history;
  }
}
