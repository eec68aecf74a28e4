package org.lockdale.soak.run;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend;
import org.lockdale.platform.RawCaller;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.judge.RequestFacts;
import org.lockdale.soak.judge.RequestKind;
import org.lockdale.soak.judge.StreamPiece;
import org.lockdale.soak.standin.HeaderNames;
import org.lockdale.soak.standin.StandardStreams;

/**
 * A caller that sends one request after another. It keeps its connection until the node closes it,
 * it breaks, or a request is abandoned. Some requests are abandoned before the response, use a
 * replaced API key, or go to the route that was added or removed last.
 */
final class Caller {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MIN_PAUSE_MILLIS = 5;
  private static final int MAX_PAUSE_MILLIS = 120;
  private static final int MAX_STAY_MILLIS = 700;
  private static final int MIN_DEADLINE_MILLIS = 1_500;
  private static final int MAX_DEADLINE_MILLIS = 8_000;
  private static final int SHARED_PREFIXES = 12;
  private static final int SHARED_PART_TOKENS = 1_200;
  private static final int UNIQUE_PART_TOKENS = 200;
  private static final int OK = 200;

  /** One body in this many is so long that it takes several packets. */
  private static final int LONG_BODY_INTERVAL = 10;

  private static final int LONG_BODY_BYTES = 6_000;

  /** One body in this many is sent with chunked transfer encoding. */
  private static final int CHUNKED_INTERVAL = 5;

  private static final int CHUNK_BYTES = 1_000;

  /**
   * The next request of a caller.
   *
   * @param lastEventId event after which a stream continues; 0 for its start
   * @param stayMillis time after which the caller abandons the request; 0 to wait for the response
   * @param resumes id of the request that brought the first event of a stream that is taken up, or
   *     null
   */
  private record Plan(
      String id,
      RequestKind kind,
      RequestFacts facts,
      String key,
      int deadlineMillis,
      int lastEventId,
      int stayMillis,
      @Nullable String resumes) {

    /** Returns the request that takes up this one's stream after an event. */
    Plan takenUp(String newId, int newLastEventId) {
      String original = resumes == null ? id : resumes;
      return new Plan(newId, kind, facts, key, deadlineMillis, newLastEventId, 0, original);
    }
  }

  private final int number;
  private final SplittableRandom random;
  private final LoadBalancer loadBalancer;
  private final Operator operator;
  private final NoteLog notes;
  private final Callers.Counts counts;
  private @Nullable RawCaller connection;

  /** The request that takes up a stream that has broken off; null if there is none. */
  private @Nullable Plan takeUp;

  private String node = "";
  private int requests;
  private int connections;

  Caller(
      int number,
      SplittableRandom random,
      LoadBalancer loadBalancer,
      Operator operator,
      NoteLog notes,
      Callers.Counts counts) {
    this.number = number;
    this.random = random;
    this.loadBalancer = loadBalancer;
    this.operator = operator;
    this.notes = notes;
    this.counts = counts;
  }

  /** Sends requests until {@code stopping} is set or the thread is interrupted. */
  void run(AtomicBoolean stopping) {
    try {
      while (!stopping.get()) {
        RawCaller open = connect();
        if (open != null) {
          Plan next = takeUp == null ? nextRequest() : takeUp;
          takeUp = null;
          exchange(open, next);
        }
        Thread.sleep(random.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
    disconnect();
  }

  private @Nullable RawCaller connect() {
    if (connection == null) {
      node = loadBalancer.nodeFor(31 * number + connections++);
      try {
        connection = new RawCaller(loadBalancer.addressOf(node), CONNECT_TIMEOUT_MILLIS);
      } catch (IOException unreachable) {
        return null;
      }
    }
    return connection;
  }

  private void disconnect() {
    if (connection != null) {
      try {
        connection.close();
      } catch (IOException closed) {
        // The connection is discarded in any case.
      }
      connection = null;
    }
  }

  private String nextId() {
    return String.format(Locale.ROOT, "%02x%06x", number, ++requests);
  }

  private Plan nextRequest() {
    String id = nextId();
    int draw = random.nextInt(100);
    String route;
    RequestKind kind;
    if (draw < 18) {
      route = "safe";
      kind = RequestKind.SAFE;
    } else if (draw < 36) {
      route = "unsafe";
      kind = RequestKind.UNSAFE;
    } else if (draw < 50) {
      route = "moving";
      kind = RequestKind.UNSAFE;
    } else if (draw < 56) {
      route = operator.addedRoute();
      kind = RequestKind.SAFE;
    } else if (draw < 74) {
      route = "stream";
      kind = RequestKind.STREAM;
    } else {
      route = "resumable";
      kind = RequestKind.RESUMABLE;
    }
    if (CrashingRequests.isRepeatedTurn(number, requests)) {
      return crashing(id, CrashingRequests.repeated());
    }
    if (CrashingRequests.isPartTurn(number, requests)) {
      return crashing(id, CrashingRequests.withCrashingPart(id));
    }
    boolean resumes = kind == RequestKind.RESUMABLE && random.nextInt(10) == 0;
    boolean abandons = random.nextInt(12) == 0;
    return new Plan(
        id,
        kind,
        randomFacts(route, id, kind),
        randomKey(),
        random.nextInt(MIN_DEADLINE_MILLIS, MAX_DEADLINE_MILLIS),
        resumes ? 2 : 0,
        abandons ? random.nextInt(1, MAX_STAY_MILLIS) : 0,
        null);
  }

  private static Plan crashing(String id, RequestFacts facts) {
    return new Plan(
        id, RequestKind.STREAM, facts, Operator.STEADY_KEY, MIN_DEADLINE_MILLIS, 0, 0, null);
  }

  private RequestFacts randomFacts(String route, String id, RequestKind kind) {
    boolean isLong = random.nextInt(LONG_BODY_INTERVAL) == 0;
    String body = "body of " + id + ".".repeat(isLong ? LONG_BODY_BYTES : 0);
    String path = "/" + route + "/" + id + "?item=" + number;
    if (!kind.isStreaming()) {
      return new RequestFacts("POST", path, body, null, null, null);
    }
    StringBuilder parts = new StringBuilder();
    int shared = random.nextInt(SHARED_PREFIXES);
    for (int part = 0; part <= shared % 3; part++) {
      parts.append(String.format(Locale.ROOT, "%02x%02x:%d,", shared, part, SHARED_PART_TOKENS));
    }
    parts.append(id).append(':').append(UNIQUE_PART_TOKENS);
    String usage = (shared % 3 + 1) * SHARED_PART_TOKENS + UNIQUE_PART_TOKENS + ",80";
    return new RequestFacts("POST", path, body, Processes.MODEL, parts.toString(), usage);
  }

  private String randomKey() {
    int draw = random.nextInt(10);
    if (draw == 0) {
      return operator.replacedKey();
    }
    if (draw < 4) {
      return operator.changingKey();
    }
    return draw < 7 ? Operator.ISOLATED_KEY : Operator.STEADY_KEY;
  }

  private void exchange(RawCaller open, Plan plan) {
    try {
      recordSurplus(open);
      notes.add(
          new Note.Sent(
              StandardStreams.nowMillis(),
              plan.id(),
              node,
              plan.kind(),
              plan.facts(),
              plan.key(),
              plan.deadlineMillis(),
              plan.lastEventId()));
      counts.sent.incrementAndGet();
      if (plan.resumes() != null) {
        counts.takenUp.incrementAndGet();
        notes.add(new Note.TakenUp(StandardStreams.nowMillis(), plan.id(), plan.resumes()));
      }
      open.send(requestText(plan));
      if (plan.stayMillis() > 0) {
        Thread.sleep(plan.stayMillis());
        abandon(plan);
        return;
      }
      open.setReadTimeout(plan.deadlineMillis());
      readResponse(open, plan);
    } catch (SocketTimeoutException late) {
      abandon(plan);
    } catch (IOException broken) {
      counts.failed.incrementAndGet();
      disconnect();
    } catch (NumberFormatException | IndexOutOfBoundsException malformed) {
      String text = "the response can't be parsed: " + malformed;
      notes.add(new Note.Surplus(StandardStreams.nowMillis(), node, text));
      disconnect();
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Closes the connection, then records it, so that nothing sent before the close counts as late.
   */
  private void abandon(Plan plan) {
    counts.abandoned.incrementAndGet();
    disconnect();
    notes.add(new Note.Left(StandardStreams.nowMillis(), plan.id()));
  }

  private void readResponse(RawCaller open, Plan plan) throws IOException {
    RawCaller.Response response = open.read();
    if (response.status() == 0) {
      counts.failed.incrementAndGet();
      disconnect();
      return;
    }
    notes.add(
        new Note.Answered(
            StandardStreams.nowMillis(),
            plan.id(),
            response.status(),
            response.header(HeaderNames.SIGNATURE),
            response.body(),
            response.complete()));
    boolean goesOn = response.status() == OK;
    if (plan.resumes() != null && goesOn) {
      counts.wentOn.incrementAndGet();
    }
    if (goesOn && !response.complete() && plan.kind() == RequestKind.RESUMABLE) {
      planToTakeUp(plan, response.body());
    }
    boolean served = goesOn && response.complete();
    (served ? counts.served : counts.rejected).incrementAndGet();
    if (!response.complete() || "close".equalsIgnoreCase(response.header("connection"))) {
      disconnect();
    }
  }

  /** Plans to take up a stream after its last event, if the caller has received any. */
  private void planToTakeUp(Plan plan, String body) {
    List<StreamPiece> pieces = StreamPiece.parse(body);
    if (!pieces.isEmpty()) {
      takeUp = plan.takenUp(nextId(), pieces.get(pieces.size() - 1).id());
    } else if (plan.resumes() != null) {
      takeUp = plan.takenUp(nextId(), plan.lastEventId());
    }
  }

  private void recordSurplus(RawCaller open) throws IOException {
    String unread = open.readAvailable();
    boolean errorResponse = unread.startsWith("HTTP/1.1 4") || unread.startsWith("HTTP/1.1 5");
    if (!unread.isEmpty() && !errorResponse) {
      notes.add(new Note.Surplus(StandardStreams.nowMillis(), node, unread));
    }
  }

  private static String requestText(Plan plan) {
    RequestFacts facts = plan.facts();
    StringBuilder text = new StringBuilder(facts.method() + " " + facts.path() + " HTTP/1.1\r\n");
    appendHeader(text, "Host", Operator.HOST);
    appendHeader(text, HeaderNames.REQUEST_ID, plan.id());
    appendHeader(text, HeaderNames.DEADLINE, Integer.toString(plan.deadlineMillis()));
    appendHeader(text, "Authorization", "Bearer " + plan.key());
    appendHeader(text, HeaderNames.TENANT, "tenant-of-the-callers-own-choice");
    appendHeader(text, HeaderNames.MODEL, facts.model());
    appendHeader(text, HeaderNames.PREFIX, facts.prefix());
    appendHeader(text, HeaderNames.USAGE, facts.usage());
    appendHeader(text, HeaderNames.SALT, "salt-of-the-callers-own-choice");
    appendHeader(text, HeaderNames.EXPECTED_VERSION, "1");
    appendHeader(
        text, HeaderNames.LAST_EVENT, plan.lastEventId() > 0 ? "" + plan.lastEventId() : null);
    appendHeader(text, HeaderNames.RESUMES, plan.resumes());
    if (plan.deadlineMillis() % CHUNKED_INTERVAL == 0) {
      appendHeader(text, "Transfer-Encoding", "chunked");
      return text.append("\r\n").append(chunked(facts.body())).toString();
    }
    appendHeader(text, "Content-Length", Integer.toString(facts.body().length()));
    return text.append("\r\n").append(facts.body()).toString();
  }

  private static String chunked(String body) {
    StringBuilder text = new StringBuilder();
    for (int from = 0; from < body.length(); from += CHUNK_BYTES) {
      int to = Math.min(body.length(), from + CHUNK_BYTES);
      text.append(RawBackend.chunk(body.substring(from, to)));
    }
    return text.append("0\r\n\r\n").toString();
  }

  private static void appendHeader(StringBuilder text, String name, @Nullable String value) {
    if (value != null) {
      text.append(name).append(": ").append(value).append("\r\n");
    }
  }
}
