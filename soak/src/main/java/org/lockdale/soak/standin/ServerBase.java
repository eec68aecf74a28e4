package org.lockdale.soak.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend;
import org.lockdale.platform.RawBackend.Received;
import org.lockdale.soak.judge.History;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.judge.RequestIds;

/**
 * Common part of all stand-in servers. It records the requests that arrive and rejects those that
 * are meant for another server.
 */
public abstract class ServerBase {

  static final int OK = 200;
  static final int MISDIRECTED = 421;
  static final int UNAVAILABLE = 503;

  /** Start of the body of a request that crashes each server that runs it. */
  public static final String CRASHING_BODY_PREFIX = "ends servers";

  /** Start of the body of a request whose events an engine pads, so that they fill buffers. */
  public static final String LARGE_BODY_PREFIX = "large events";

  /** Start of the body of a request whose response takes some seconds. */
  public static final String SLOW_BODY_PREFIX = "slow response";

  /** Prefix of a line with the rate limit that a server is to advertise; empty for none. */
  public static final String RATE_COMMAND = "rate ";

  /** Line that makes a server announce in its responses that it is draining. */
  public static final String LEAVING_COMMAND = "leaving";

  /**
   * Prefix of a line with the backoff in milliseconds that a server is to request, and the share of
   * requests that it rejects with it; empty for none.
   */
  public static final String REST_COMMAND = "rest ";

  /**
   * Prefix of a line that makes a server answer twice, with the arguments of {@link
   * SecondReplies#configure}.
   */
  public static final String SECOND_REPLIES_COMMAND = "second ";

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Incarnation incarnation;
  private final RunRecorder runs;
  private final Announcements announcements;
  private final ServerReplies replies;
  private final PageEnds pageEnds = new PageEnds();
  private volatile @Nullable RawBackend backend;

  /**
   * An incarnation of a server.
   *
   * @param id id of the server, which may stay the same after a restart
   * @param startedAtMillis Unix time of its start
   */
  record Incarnation(String id, long startedAtMillis) {

    /** Returns the name of this incarnation in notes. */
    String name() {
      return instanceName(id, startedAtMillis);
    }
  }

  ServerBase(Incarnation incarnation, String service) {
    this.incarnation = incarnation;
    this.runs = new RunRecorder(incarnation.name(), service);
    this.announcements = new Announcements(incarnation.name());
    this.replies = new ServerReplies(incarnation.name());
  }

  /** Returns the name of a server's incarnation in notes. */
  public static String instanceName(String id, long startedAtMillis) {
    return id + "@" + startedAtMillis;
  }

  /** Serves until the driver closes the standard input, and sends a row at every heartbeat. */
  final void run(InetSocketAddress address, long heartbeatMillis) throws IOException {
    backend =
        new RawBackend(
            incarnation.id(),
            address,
            (request, connection) -> {
              RawBackend started = backend;
              if (started != null) {
                started.received().clear();
              }
              serve(request, connection);
            });
    Thread beat = new Thread(() -> sendHeartbeats(heartbeatMillis), "heartbeat");
    beat.setDaemon(true);
    beat.start();
    try (StallDetector watch = new StallDetector(this::recordStall)) {
      StandardStreams.runCommands(this::handleCommand);
    }
  }

  private void handleCommand(String line) {
    if (announcements.handleCommand(line)) {
      return;
    }
    if (line.startsWith(SECOND_REPLIES_COMMAND)) {
      replies.second().configure(line.substring(SECOND_REPLIES_COMMAND.length()));
    } else {
      NodeReaper.handleCommand(line);
    }
  }

  /** Returns the headers of a run's response: the signature and what the server announces. */
  final String responseHeaders(Received request, String run) {
    return HeaderNames.SIGNATURE + ": " + run + announcements.headers(request);
  }

  /** Records that the machine did not schedule this server, so that it read requests late. */
  private void recordStall(long sinceMillis) {
    long id = ThreadLocalRandom.current().nextLong(Long.MIN_VALUE, 0);
    StandardStreams.writeNote(
        new Note.DisruptionBegan(sinceMillis, id, History.stalledServer(instance()), false));
    StandardStreams.writeNote(new Note.DisruptionEnded(StandardStreams.nowMillis(), id));
  }

  private void sendHeartbeats(long heartbeatMillis) {
    try {
      while (true) {
        sendRow();
        Thread.sleep(heartbeatMillis);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends the driver the row that this server would write into the store. */
  final void sendRow() {
    StandardStreams.writeLine(StandardStreams.ROW + row());
  }

  /** Returns the name of this incarnation in notes. */
  final String instance() {
    return incarnation.name();
  }

  /** Returns the id of this server, by which requests target it. */
  final String id() {
    return incarnation.id();
  }

  /** Returns the fields that are common to this server's row and its reports. */
  final ObjectNode selfDescription() {
    return StandardStreams.MAPPER.createObjectNode().put("born", incarnation.startedAtMillis());
  }

  /** Returns the fields of the row that all servers have. */
  final ObjectNode commonRow(int slots) {
    return selfDescription().put("slots", slots).put("coldRemainingMs", 0).put("seq", 1);
  }

  /** Returns the row as JSON, without the address and state, which the driver adds. */
  abstract String row();

  /**
   * Serves a control request, such as a health check; returns false without a response otherwise.
   */
  abstract boolean serveControlRequest(Received request, Socket connection) throws IOException;

  /**
   * Runs a caller's request that is meant for this server, or rejects it.
   *
   * @param second how the reply is repeated, or null if it is not
   */
  abstract void execute(Received request, Socket connection, @Nullable SecondReplyKind second)
      throws IOException;

  /** Returns the body of a second reply that is a success. */
  abstract String secondBody(String run);

  private void serve(Received request, Socket connection) throws IOException {
    connection.setTcpNoDelay(true);
    connection.setSoTimeout(0);
    if (serveControlRequest(request, connection)) {
      return;
    }
    if (request.id() == null) {
      respond(connection, 400, "", "", HeaderNames.NOT_EXECUTED + ": 1");
      return;
    }
    runs.recordArrival(request);
    String target = request.header(HeaderNames.TARGET);
    if (target != null && !target.equals(incarnation.id())) {
      reject(request, connection, MISDIRECTED);
      return;
    }
    RequestedBackoff backoff = announcements.drawBackoff();
    if (backoff != null) {
      rejectWithBackoff(request, connection, backoff.millis());
      return;
    }
    SecondReplyKind second = replies.second().draw();
    if (second == SecondReplyKind.SUCCESS_AFTER_REFUSAL) {
      reject(request, connection, UNAVAILABLE, second);
    } else {
      execute(request, connection, second);
    }
  }

  /** Rejects a request and requests backoff from its node. */
  private void rejectWithBackoff(Received request, Socket connection, long backoffMillis)
      throws IOException {
    long now = StandardStreams.nowMillis();
    StandardStreams.writeNote(new Note.Rejected(now, instance(), noteId(request), UNAVAILABLE));
    String retryAfter = HeaderNames.RETRY_AFTER + ": " + backoffMillis / MILLIS_PER_SECOND;
    respond(
        connection,
        UNAVAILABLE,
        request.id(),
        "",
        HeaderNames.NOT_EXECUTED + ": 1" + announcements.drainingHeader(request),
        retryAfter);
    StandardStreams.writeNote(new Note.RestTold(now, instance(), noteId(request), backoffMillis));
  }

  /** Rejects a request with the given status, marked as not run. */
  final void reject(Received request, Socket connection, int status) throws IOException {
    reject(request, connection, status, null);
  }

  private void reject(
      Received request, Socket connection, int status, @Nullable SecondReplyKind second)
      throws IOException {
    StandardStreams.writeNote(
        new Note.Rejected(StandardStreams.nowMillis(), instance(), noteId(request), status));
    Reply reply =
        Reply.of(
            status,
            request.id(),
            "",
            HeaderNames.NOT_EXECUTED + ": 1" + announcements.drainingHeader(request));
    String noRun = instance() + "/none";
    replies.toRequest(connection, request, reply, second, noRun, secondBody(noRun));
  }

  /** Returns the recorder of this server's runs. */
  final RunRecorder runs() {
    return runs;
  }

  static long parseNumber(@Nullable String header) {
    return header == null ? 0 : (long) Double.parseDouble(header.trim());
  }

  /** Returns the id of a request in notes. */
  static String noteId(Received request) {
    return RequestIds.noteId(request.id(), (int) parseNumber(request.header(HeaderNames.SEND)));
  }

  /** Returns the replies of this server. */
  final ServerReplies replies() {
    return replies;
  }

  final void respond(
      Socket connection, int status, @Nullable String id, String body, String... headers)
      throws IOException {
    replies.of(connection).write(Reply.of(status, id, body, headers).text(), null);
  }

  /** Returns where the first pages of cache events ended on this server's connections. */
  final PageEnds pageEnds() {
    return pageEnds;
  }

  /** Records it if a call uses a number that stands only in a second reply of this server. */
  final void checkNumber(String path, long number) {
    if (number >= SecondReplies.FIRST_MARKED_NUMBER) {
      recordSecondReplyUsed(path, "uses a number of a second reply");
    }
  }

  /** Records it if a call goes on from an earlier page than the first one on its connection. */
  final void checkPosition(Socket connection, String path, long since) {
    if (replies.of(connection).hasRepeatedReply() && pageEnds.isBehind(connection, since)) {
      recordSecondReplyUsed(
          path, "asks for events after " + since + ", before the first page's end");
    }
  }

  private void recordSecondReplyUsed(String path, String reason) {
    StandardStreams.writeNote(
        new Note.SecondReplyUsed(StandardStreams.nowMillis(), instance(), path, reason));
  }

  /** Waits and returns whether the peer closed the connection within {@code millis}. */
  final boolean closesWithin(Socket connection, long millis) {
    RawBackend started = backend;
    return started == null || started.closesWithin(connection, millis);
  }
}
