package org.lockdale.soak.judge;

import static org.lockdale.soak.judge.LoadHistories.atWorkAfterClose;
import static org.lockdale.soak.judge.LoadHistories.attempts;
import static org.lockdale.soak.judge.LoadHistories.crashing;
import static org.lockdale.soak.judge.LoadHistories.deadlines;
import static org.lockdale.soak.judge.LoadHistories.repeats;
import static org.lockdale.soak.judge.LoadHistories.revived;
import static org.lockdale.soak.judge.LoadHistories.sentAfterClose;
import static org.lockdale.soak.judge.Notes.KEY;
import static org.lockdale.soak.judge.Notes.OTHER_KEY;
import static org.lockdale.soak.judge.Notes.answered;
import static org.lockdale.soak.judge.Notes.begun;
import static org.lockdale.soak.judge.Notes.begunOn;
import static org.lockdale.soak.judge.Notes.continued;
import static org.lockdale.soak.judge.Notes.facts;
import static org.lockdale.soak.judge.Notes.routes;
import static org.lockdale.soak.judge.Notes.sent;
import static org.lockdale.soak.judge.Notes.sentTo;
import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Wrong histories, at least one for each rule, and like ones that are right. */
public final class JudgeTest {

  private static final long T = 100_000;
  private static final Map<String, String> KEYS = Map.of(KEY, "tenant-1", OTHER_KEY, "tenant-2");

  private static Note.Answered cut(String id, String run, String body) {
    return new Note.Answered(T + 90, id, 200, run, body, false);
  }

  private static String pieces(String run, int first, int last, boolean ends) {
    StringBuilder text = new StringBuilder();
    for (int id = first; id <= last; id++) {
      text.append(new StreamPiece(id, run, ends && id == last).text());
    }
    return text.toString();
  }

  @Test
  public void aSoundHistoryBreaksNothing() {
    Notes notes = new Notes();
    int number = 0;
    for (RequestKind kind : RequestKind.values()) {
      notes.served(T, "r" + number++, kind);
    }
    assertEquals(notes.brokenRules(), List.of());
  }

  @DataProvider
  public static Object[][] wrongHistories() {
    return new Object[][] {
      {"TWICE", "an unsafe request runs twice", twice(RequestKind.UNSAFE)},
      {"TWICE", "a stream that may not be resumed runs twice", twice(RequestKind.STREAM)},
      {"REFUSED", "what ran is answered 503", refused(RequestKind.UNSAFE, 503)},
      {"REFUSED", "what ran is answered 429", refused(RequestKind.STREAM, 429)},
      {"UNASKED", "nobody sent it", new Notes().add(begun(T, "r", "run"))},
      {
        "UNASKED",
        "another body",
        changed(new RequestFacts("POST", "/route/x", "b", null, null, null))
      },
      {
        "UNASKED",
        "another query",
        changed(new RequestFacts("POST", "/route/x?", "body", null, null, null))
      },
      {
        "UNASKED",
        "another model",
        changed(new RequestFacts("POST", "/route/x", "body", "m", null, null))
      },
      {"UNASKED", "another tenant", asTenant("tenant-2")},
      {"UNASKED", "no tenant", asTenant(null)},
      {"MIXED", "no signature", answeredWith(null, 200, "answer")},
      {"MIXED", "a signature of no run", answeredWith("run-x", 200, "answer")},
      {"MIXED", "another body", answeredWith("run-r", 200, "ans")},
      {"MIXED", "another status", answeredWith("run-r", 500, "answer")},
      {"MIXED", "another request's answer", swapped()},
      {"MIXED", "bytes nobody asked for", new Notes().add(new Note.Surplus(T, "node-1", "HTTP"))},
      {
        "ORDER",
        "a piece is missing",
        stream(RequestKind.STREAM, pieces("run-1", 1, 1, false) + pieces("run-1", 3, 4, true), true)
      },
      {
        "ORDER",
        "a piece comes twice",
        stream(RequestKind.STREAM, pieces("run-1", 1, 2, false) + pieces("run-1", 2, 4, true), true)
      },
      {
        "ORDER",
        "complete without its end",
        stream(RequestKind.STREAM, pieces("run-1", 1, 3, false), true)
      },
      {
        "ORDER",
        "two runs joined",
        stream(RequestKind.STREAM, pieces("run-1", 1, 2, false) + pieces("run-2", 3, 4, true), true)
      },
      {
        "ORDER",
        "joined at another place than asked",
        stream(
            RequestKind.RESUMABLE, pieces("run-1", 1, 3, false) + pieces("run-2", 4, 5, true), true)
      },
      {"STALE", "parts of older weights", parts("tenant-1", "tenant-1", 1, 2)},
      {"WALL", "an isolated tenant's parts", parts("tenant-1", "tenant-2", 1, 1)},
      {"WALL", "parts for an isolated tenant", parts("tenant-2", "tenant-1", 1, 1)},
      {"VERSION", "older weights too late", weights(8_100)},
      {"ROUTE", "a service that never had the route", atService("elsewhere")},
      {"CONFIG", "the old service runs it", movedRoute("node-1", 2_500, "pool")},
      {"CONFIG", "refused although the route exists", refusedRoute()},
      {"CONFIG", "a node falls back", fellBack("node-1")},
      {"CONFIG", "a revoked key is served by a node out of touch", revoked(5_100)},
      {"CONFIG", "requests are held past their timeout", held(9)},
      {"DENIED", "what is always allowed is refused", denied(404)},
      {"DENIED", "a key that always holds is refused", denied(401)},
      {"DRAIN", "sent to a server that has left", drained(2_100)},
      {"ONE", "two holders share a fence", orders("node-1", 4, "node-2", 4, 9_000)},
      {"ONE", "holders take turns", orders("node-1", 4, "node-2", 5, 2_000)},
      {"BUDGET", "too many repeated sends", repeats(30)},
      {"BUDGET", "too many servers at once", attempts(4, 3)},
      {"BUDGET", "sent on after it has ended three servers", crashing(4, 3_001)},
      {"ENDS", "said to have lived after its end", revived("server-1", 101)},
      {"BUDGET", "servers get more time than is left", deadlines(21, 9_000)},
      {"GONE", "sent on after the close", sentAfterClose(4)},
      {"GONE", "still at work after the close", atWorkAfterClose(4, 600)},
    };
  }

  @Test(dataProvider = "wrongHistories")
  public void aWrongHistoryIsCaught(String rule, String what, Notes notes) {
    assertEquals(notes.brokenRules(), List.of(rule), what);
  }

  @DataProvider
  public static Object[][] rightHistories() {
    return new Object[][] {
      {"a safe request may run twice", twice(RequestKind.SAFE)},
      {"a resumable stream may run twice", twice(RequestKind.RESUMABLE)},
      {"what may be repeated may be refused after a run", refused(RequestKind.SAFE, 503)},
      {"502 promises nothing", refused(RequestKind.UNSAFE, 502)},
      {"a cut stream", stream(RequestKind.STREAM, pieces("run-1", 1, 3, false), false)},
      {
        "a stream continued where it was asked",
        stream(
            RequestKind.RESUMABLE, pieces("run-1", 1, 2, false) + pieces("run-2", 3, 5, true), true)
      },
      {"shared parts of the same weights", parts("tenant-1", "tenant-1", 2, 2)},
      {"older weights within the bound", weights(7_900)},
      {
        "older weights after the store was disrupted",
        weights(8_100)
            .add(new Note.DisruptionBegan(T + 500, 9, "store", false))
            .add(new Note.DisruptionEnded(T + 600, 9))
      },
      {
        "older weights at a node out of touch",
        weights(8_100)
            .add(new Note.DisruptionBegan(T + 5_500, 9, "node-1", false))
            .add(new Note.DisruptionEnded(T + 5_600, 9))
      },
      {"the old service within the bound", movedRoute("node-1", 1_900, "pool")},
      {
        "the old service at a node out of touch",
        movedRoute("node-2", 2_500, "pool")
            .add(new Note.DisruptionBegan(T, 9, "node-2", false))
            .add(new Note.DisruptionEnded(T + 100, 9))
      },
      {"another node is behind", fellBack("node-2")},
      {
        "a node is behind in its next life",
        fellBack("node-1").add(new Note.Started(T + 400, "node-1"))
      },
      {"a revoked key within the bound", revoked(4_900)},
      {"few requests are held", held(7)},
      {"sent to a leaving server in time", drained(1_900)},
      {"holders one after the other", orders("node-1", 4, "node-2", 5, 3_100)},
      {"repeated sends within the budget", repeats(10)},
      {"many servers for few requests", attempts(3, 3)},
      {"a few sends after it has ended three servers", crashing(3, 3_001)},
      {"sends before all nodes have to know", crashing(4, 2_900)},
      {"said to have lived as it ended", revived("server-1", 90)},
      {"said to have lived while it did", revived("server-9", 5_000)},
      {"servers get what is left", deadlines(21, 8_400)},
      {"few sent on after the close", sentAfterClose(3)},
      {"stopped soon after the close", atWorkAfterClose(4, 400)},
    };
  }

  @Test(dataProvider = "rightHistories")
  public void aRightHistoryPasses(String what, Notes notes) {
    assertEquals(notes.brokenRules(), List.of(), what);
  }

  private static Notes twice(RequestKind kind) {
    return new Notes()
        .add(sent(T, "r", kind))
        .add(begun(T + 5, "r", "run-1"))
        .add(begun(T + 60, "r", "run-2"));
  }

  private static Notes refused(RequestKind kind, int status) {
    return new Notes()
        .add(answered(T + 90, "r", status, null, ""))
        .add(begun(T + 5, "r", "run-1"))
        .add(sent(T, "r", kind));
  }

  private static Notes changed(RequestFacts facts) {
    return new Notes()
        .add(sent(T, "r", RequestKind.SAFE))
        .add(begunOn(T + 5, "r", "run-1", facts, "pool", "tenant-1", 0));
  }

  private static Notes asTenant(String tenant) {
    return new Notes()
        .add(sent(T, "r", RequestKind.SAFE))
        .add(begunOn(T + 5, "r", "run-1", facts(), "pool", tenant, 0));
  }

  private static Notes answeredWith(String run, int status, String body) {
    return new Notes()
        .served(T, "r", RequestKind.SAFE)
        .add(answered(T + 55, "r", status, run, body));
  }

  private static Notes swapped() {
    return new Notes()
        .served(T, "r", RequestKind.SAFE)
        .served(T, "q", RequestKind.SAFE)
        .add(answered(T + 55, "q", 200, "run-r", "answer"));
  }

  private static Notes stream(RequestKind kind, String body, boolean whole) {
    Notes notes = new Notes().add(sent(T, "r", kind)).add(begun(T + 5, "r", "run-1"));
    if (kind.isIdempotent() || body.contains("run-2")) {
      notes.add(new Note.Ended(T + 40, "run-1", 200, body, false));
    }
    if (body.contains("run-2") && kind.isIdempotent()) {
      notes.add(continued(T + 60, "r", "run-2", 2));
    }
    return notes.add(whole ? answered(T + 90, "r", 200, "run-1", body) : cut("r", "run-1", body));
  }

  private static Notes parts(String tenant, String maker, long weights, long madeWeights) {
    Note.Sent sent =
        new Note.Sent(
            T,
            "r",
            "node-1",
            RequestKind.RESUMABLE,
            facts(),
            tenant.equals("tenant-1") ? KEY : OTHER_KEY,
            8_000,
            0);
    return new Notes()
        .add(sent)
        .add(begunOn(T + 5, "r", "run-1", facts(), "pool", tenant, weights))
        .add(new Note.PartsUsed(T + 5, "run-1", maker, madeWeights));
  }

  private static Notes weights(long after) {
    return new Notes()
        .add(new Note.WeightsAcknowledged(T, "model", 2))
        .add(sent(T + after - 10, "r", RequestKind.RESUMABLE))
        .add(begunOn(T + after, "r", "run-1", facts(), "pool", "tenant-1", 1));
  }

  private static Notes atService(String service) {
    return new Notes()
        .add(sent(T, "r", RequestKind.SAFE))
        .add(begunOn(T + 5, "r", "run-1", facts(), service, "tenant-1", 0));
  }

  private static Notes movedRoute(String node, long after, String service) {
    return new Notes()
        .configuration(2, T, routes("other"), KEYS)
        .add(sentTo(node, T + after, "r", RequestKind.SAFE))
        .add(begunOn(T + after + 5, "r", "run-1", facts(), service, "tenant-1", 0));
  }

  private static Notes refusedRoute() {
    return new Notes()
        .configuration(2, T - 50_000, Map.of("/always/", new RouteFacts("pool", 4_000, 2)), KEYS)
        .configuration(3, T, routes("pool"), KEYS)
        .add(sent(T + 2_100, "r", RequestKind.SAFE))
        .add(answered(T + 2_110, "r", 404, null, ""));
  }

  private static Notes fellBack(String second) {
    return new Notes()
        .configuration(2, T, routes("other"), KEYS)
        .add(sent(T + 100, "r1", RequestKind.SAFE))
        .add(begunOn(T + 110, "r1", "run-1", facts(), "other", "tenant-1", 0))
        .add(sentTo(second, T + 500, "r2", RequestKind.SAFE))
        .add(begun(T + 510, "r2", "run-2"));
  }

  private static Notes revoked(long after) {
    return new Notes()
        .configuration(2, T, routes("pool"), Map.of(OTHER_KEY, "tenant-2"))
        .add(new Note.DisruptionBegan(T - 10, 9, "node-1", false))
        .add(sent(T + after, "r", RequestKind.SAFE))
        .add(begun(T + after + 5, "r", "run-1"));
  }

  private static Notes held(int count) {
    Notes notes = new Notes();
    for (int number = 0; number < count; number++) {
      notes.add(sent(T, "r" + number, RequestKind.SAFE));
      notes.add(answered(T + 4_600, "r" + number, 504, null, ""));
    }
    return notes;
  }

  private static Notes denied(int status) {
    return new Notes()
        .add(sent(T, "r", RequestKind.SAFE))
        .add(answered(T + 5, "r", status, null, ""));
  }

  private static Notes drained(long after) {
    return new Notes()
        .add(new Note.LeavingAcknowledged(T, "server-1"))
        .add(sent(T + after - 5, "r", RequestKind.SAFE))
        .add(new Note.Arrived(T + after, "server-1", "pool", "r"));
  }

  private static Notes orders(String first, long fence, String second, long next, long after) {
    return new Notes()
        .add(new Note.Ordered(T, "server-1", first, fence))
        .add(new Note.Ordered(T + after, "server-1", second, next));
  }
}
