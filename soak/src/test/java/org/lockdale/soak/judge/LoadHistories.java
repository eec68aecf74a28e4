package org.lockdale.soak.judge;

import static org.lockdale.soak.judge.Notes.answered;
import static org.lockdale.soak.judge.Notes.begun;
import static org.lockdale.soak.judge.Notes.facts;
import static org.lockdale.soak.judge.Notes.sent;

/** Histories of what nodes load servers with: repeats, crashes, time given, callers that left. */
final class LoadHistories {

  private static final long T = 100_000;

  private LoadHistories() {}

  static Notes repeats(int count) {
    Notes notes = new Notes().withBounds(Bounds.standard().withRetrySlack(10));
    for (int number = 0; number < count; number++) {
      notes.add(sent(T, "r" + number, RequestKind.SAFE));
      notes.add(new Note.Arrived(T + 5, "server-1", "pool", "r" + number));
      notes.add(new Note.Arrived(T + 50, "server-2", "pool", "r" + number));
      notes.add(answered(T + 90, "r" + number, 502, null, ""));
    }
    return notes;
  }

  /** A request that ends three servers at first, and is then sent on after a time. */
  static Notes crashing(int retries, long afterMillis) {
    Notes notes = new Notes();
    for (int end = 0; end < 3; end++) {
      notes.add(sent(T, "e" + end, RequestKind.STREAM));
      notes.add(new Note.Arrived(T + 1, "server-" + end, "pool", "e" + end));
      notes.add(new Note.Crashed(T + 50, "server-" + end, "e" + end));
    }
    for (int retry = 0; retry < retries; retry++) {
      notes.add(sent(T + 50 + afterMillis, "r" + retry, RequestKind.STREAM));
      notes.add(new Note.Arrived(T + 51 + afterMillis, "server-9", "pool", "r" + retry));
    }
    return notes;
  }

  /** A server ends of a request, and a node says later that it lives. */
  static Notes revived(String server, long afterMillis) {
    Notes notes = crashing(0, 0);
    notes.add(new Note.SaidToLive(T + 50 + afterMillis, "node-1", server));
    return notes;
  }

  static Notes attempts(int requests, int servers) {
    Notes notes = new Notes();
    for (int number = 0; number < requests; number++) {
      String id = "r" + number;
      notes.add(sent(T, id, RequestKind.SAFE));
      for (int server = 0; server < servers; server++) {
        notes.add(
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
    return notes;
  }

  static Notes deadlines(int requests, long given) {
    Notes notes = new Notes();
    for (int number = 0; number < requests; number++) {
      String id = "r" + number;
      notes.add(sent(T, id, RequestKind.SAFE));
      notes.add(
          new Note.Begun(
              T + 5, "server-1", "pool", id, id + "-1", facts(), "tenant-1", 0, given, 3_000, 0));
      notes.add(answered(T + 90, id, 502, null, ""));
    }
    return notes;
  }

  static Notes sentAfterClose(int requests) {
    Notes notes = new Notes();
    for (int number = 0; number < requests; number++) {
      notes.add(sent(T, "r" + number, RequestKind.SAFE));
      notes.add(new Note.Left(T + 50, "r" + number));
      notes.add(new Note.Arrived(T + 600, "server-1", "pool", "r" + number));
    }
    return notes;
  }

  static Notes atWorkAfterClose(int requests, long after) {
    Notes notes = new Notes();
    for (int number = 0; number < requests; number++) {
      String run = "run-" + number;
      notes.add(sent(T, "r" + number, RequestKind.RESUMABLE));
      notes.add(begun(T + 5, "r" + number, run));
      notes.add(new Note.Left(T + 50, "r" + number));
      notes.add(new Note.Ended(T + 50 + after, run, 200, "", false));
    }
    return notes;
  }
}
