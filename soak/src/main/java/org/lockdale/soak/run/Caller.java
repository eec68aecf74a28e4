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
import org.lockdale.soak.judge.RequestIds;
import org.lockdale.soak.judge.RequestKind;
import org.lockdale.soak.judge.StreamPiece;
import org.lockdale.soak.standin.HeaderNames;
import org.lockdale.soak.standin.StandardStreams;

/**
 * A caller that sends one request after another. It keeps its connection until the node closes it,
 * it breaks, or a request is abandoned. Some requests are abandoned before the response, use a
 * replaced API key, or go to the route that was added or removed last. Some callers repeat a failed
 * request under its id if they still have its connection.
 */
final class Caller {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MIN_PAUSE_MILLIS = 5;
  private static final int MAX_PAUSE_MILLIS = 120;
  private static final int OK = 200;
  private static final int SERVER_ERROR = 500;

  /** One body in this many is sent with chunked transfer encoding. */
  private static final int CHUNKED_INTERVAL = 5;

  private static final int CHUNK_BYTES = 1_000;

  private final int number;
  private final SplittableRandom random;
  private final LoadBalancer loadBalancer;
  private final RequestSource source;
  private final NoteLog notes;
  private final Callers.Counts counts;
  private @Nullable RawCaller connection;

  /** The request that takes up a broken stream or repeats a failed one; null if there is none. */
  private @Nullable CallerRequest followUp;

  private String node = "";
  private int requests;
  private int connections;

  Caller(
      int number,
      SplittableRandom random,
      LoadBalancer loadBalancer,
      RequestSource source,
      NoteLog notes,
      Callers.Counts counts) {
    this.number = number;
    this.random = random;
    this.loadBalancer = loadBalancer;
    this.source = source;
    this.notes = notes;
    this.counts = counts;
  }

  /** Sends requests until {@code stopping} is set or the thread is interrupted. */
  void run(AtomicBoolean stopping) {
    try {
      while (!stopping.get()) {
        RawCaller open = connect();
        if (open != null) {
          CallerRequest next = followUp == null ? nextRequest() : followUp;
          followUp = null;
          exchange(open, next);
        }
        if (followUp == null || followUp.send() == 1) {
          Thread.sleep(random.nextInt(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
        }
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

  private CallerRequest nextRequest() {
    String id = nextId();
    return source.next(requests, id);
  }

  private void exchange(RawCaller open, CallerRequest plan) {
    try {
      recordSurplus(open);
      notes.add(
          new Note.Sent(
              StandardStreams.nowMillis(),
              plan.noteId(),
              node,
              plan.kind(),
              plan.facts(),
              plan.key(),
              plan.deadlineMillis(),
              plan.lastEventId()));
      counts.sent.incrementAndGet();
      if (plan.resumes() != null) {
        counts.takenUp.incrementAndGet();
        notes.add(new Note.TakenUp(StandardStreams.nowMillis(), plan.noteId(), plan.resumes()));
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
      planToRepeat(plan);
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
  private void abandon(CallerRequest plan) {
    counts.abandoned.incrementAndGet();
    disconnect();
    notes.add(new Note.Left(StandardStreams.nowMillis(), plan.noteId()));
  }

  private void readResponse(RawCaller open, CallerRequest plan) throws IOException {
    RawCaller.Response response = open.read();
    if (response.status() == 0) {
      counts.failed.incrementAndGet();
      disconnect();
      planToRepeat(plan);
      return;
    }
    notes.add(
        new Note.Answered(
            StandardStreams.nowMillis(),
            plan.noteId(),
            response.status(),
            response.header(HeaderNames.SIGNATURE),
            response.body(),
            response.complete()));
    recordForeignReply(plan, response);
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
    boolean failed = response.status() >= SERVER_ERROR;
    if (failed && connection != null && plan.hasRepeats()) {
      followUp = plan.repeated();
    }
  }

  /** Records a response that carries the mark of a second reply, or the id of another request. */
  private void recordForeignReply(CallerRequest plan, RawCaller.Response response) {
    String second = response.header(HeaderNames.SECOND_REPLY);
    String id = response.header(HeaderNames.REQUEST_ID);
    if (second != null) {
      recordForeignReply(plan, "status " + response.status() + ", the second reply of " + second);
    } else if (id != null && !id.equals(plan.id())) {
      recordForeignReply(plan, "the response to " + id);
    }
  }

  private void recordForeignReply(CallerRequest plan, String text) {
    notes.add(new Note.ForeignReply(StandardStreams.nowMillis(), plan.noteId(), text));
  }

  /** Plans to take up a stream again if nothing of a response arrived when it was taken up. */
  private void planToRepeat(CallerRequest plan) {
    if (plan.resumes() != null) {
      followUp = plan.takenUp(nextId(), plan.lastEventId());
    }
  }

  /** Plans to take up a stream after its last event, if the caller has received any. */
  private void planToTakeUp(CallerRequest plan, String body) {
    List<StreamPiece> pieces = StreamPiece.parse(body);
    if (!pieces.isEmpty()) {
      followUp = plan.takenUp(nextId(), pieces.get(pieces.size() - 1).id());
    } else if (plan.resumes() != null) {
      followUp = plan.takenUp(nextId(), plan.lastEventId());
    }
  }

  private void recordSurplus(RawCaller open) throws IOException {
    String unread = open.readAvailable();
    boolean errorResponse = unread.startsWith("HTTP/1.1 4") || unread.startsWith("HTTP/1.1 5");
    if (!unread.isEmpty() && !errorResponse) {
      notes.add(new Note.Surplus(StandardStreams.nowMillis(), node, unread));
    }
  }

  private static String requestText(CallerRequest plan) {
    RequestFacts facts = plan.facts();
    StringBuilder text = new StringBuilder(facts.method() + " " + facts.path() + " HTTP/1.1\r\n");
    appendHeader(text, "Host", Operator.HOST);
    appendHeader(text, HeaderNames.REQUEST_ID, plan.id());
    appendHeader(text, HeaderNames.SEND, plan.send() > 1 ? "" + plan.send() : null);
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
    appendHeader(
        text, HeaderNames.RESUMES, plan.resumes() == null ? null : RequestIds.idOf(plan.resumes()));
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
