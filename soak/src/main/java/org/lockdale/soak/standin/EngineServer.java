package org.lockdale.soak.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend.Received;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.judge.StreamPiece;
import org.lockdale.soak.standin.CachedParts.Part;

/** A model server that streams, caches prompt parts, reports its state and executes orders. */
final class EngineServer extends ServerBase {

  private static final int SLOTS = 6;
  private static final int SERVER_ERROR = 500;

  /** Maximum number of requests that wait for a slot. */
  private static final int QUEUE_CAPACITY = 6;

  private static final int PIECE_MILLIS = 40;

  /** Padding of an event; a stream of the longest kind then exceeds the buffers of its path. */
  private static final int PADDING_CHARACTERS = 256 * 1024;

  private static final int MIN_PIECES = 3;
  private static final int MAX_PIECES = 30;

  /** Pieces of a slow response, which takes 2.8 to 3.5 s. */
  private static final int MIN_SLOW_PIECES = 70;

  private static final int MAX_SLOW_PIECES = 88;
  private static final int POLL_INTERVAL_MILLIS = 10;

  /** Prompt tokens computed per millisecond. */
  private static final int TOKENS_PER_MILLISECOND = 20;

  private static final long LOAD_MILLIS = 600;

  /** One stream in this many is broken off within an event. */
  private static final int TORN_STREAM_INTERVAL = 40;

  /** One stream in this many is close-delimited. */
  private static final int CLOSE_DELIMITED_INTERVAL = 3;

  private final String model;
  private final CachedParts cache = new CachedParts();
  private long weightsVersion;
  private boolean busy;
  private int running;
  private int queued;

  /** Number of accepted orders, which the reports carry as the revision of the state. */
  private long revision;

  private long highestFencingToken;

  EngineServer(Incarnation incarnation, String service, String model, long weightsVersion) {
    super(incarnation, service);
    this.model = model;
    this.weightsVersion = weightsVersion;
  }

  @Override
  synchronized String row() {
    ObjectNode row = commonRow(SLOTS);
    row.put("stage", "colocated");
    row.putArray("models").addObject().put("name", model).put("version", weightsVersion);
    return row.toString();
  }

  @Override
  boolean serveControlRequest(Received request, Socket connection) throws IOException {
    String path = request.line().split(" ")[1];
    if (path.equals("/report")) {
      replies()
          .toCall(
              connection, path, OK, report(revision), report(SecondReplies.FIRST_MARKED_NUMBER));
    } else if (path.equals("/order")) {
      replies().toCall(connection, path, order(request), "", "");
    } else if (path.equals("/health")) {
      respond(connection, OK, "", "", "Lockdale-Instance-Id: " + id());
    } else {
      return CacheCalls.serve(this, cache, request, connection);
    }
    return true;
  }

  /**
   * Returns the report on this engine.
   *
   * @param orders number of accepted orders
   */
  private synchronized String report(long orders) {
    ObjectNode body = selfDescription().put("stage", "colocated");
    body.putArray("models").addObject().put("name", model).put("version", weightsVersion);
    return body.put("busy", busy)
        .put("seq", orders)
        .put("queued", queued)
        .put("running", running)
        .toString();
  }

  /** Carries out an order, or does not, and records and returns the status of the reply. */
  private int order(Received request) throws IOException {
    JsonNode body = StandardStreams.MAPPER.readTree(request.body());
    checkNumber("/order", body.path("expectedRev").asLong());
    String target = request.header(HeaderNames.TARGET);
    int status = target != null && !target.equals(id()) ? MISDIRECTED : order(body);
    StandardStreams.writeNote(
        new Note.OrderAnswered(
            StandardStreams.nowMillis(), instance(), body.path("version").asLong(), status));
    return status;
  }

  private synchronized int order(JsonNode body) {
    long fence = body.path("fence").asLong();
    if (fence < highestFencingToken) {
      return 412;
    }
    highestFencingToken = fence;
    StandardStreams.writeNote(
        new Note.Ordered(
            StandardStreams.nowMillis(), instance(), body.path("holder").asText(), fence));
    long version = body.path("version").asLong();
    if (version == weightsVersion && !busy) {
      return OK;
    }
    if (busy || body.has("expectedRev") && body.path("expectedRev").asLong() != revision) {
      return 409;
    }
    revision++;
    busy = true;
    Thread loading = new Thread(() -> load(version), "load");
    loading.setDaemon(true);
    loading.start();
    return 202;
  }

  private void load(long version) {
    try {
      synchronized (this) {
        while (running > 0) {
          wait();
        }
      }
      Thread.sleep(LOAD_MILLIS);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
      return;
    }
    synchronized (this) {
      cache.clear();
      weightsVersion = version;
      busy = false;
    }
    sendRow();
  }

  @Override
  void execute(Received request, Socket connection, @Nullable SecondReplyKind second)
      throws IOException {
    long end = StandardStreams.nowMillis() + parseNumber(request.header(HeaderNames.DEADLINE));
    int status = acquireSlot(request, connection, end);
    if (status == 0) {
      return;
    }
    if (status != OK) {
      reject(request, connection, status);
      return;
    }
    try {
      stream(request, connection, end, second);
    } finally {
      releaseSlot();
    }
  }

  /** Waits for a slot; returns 200, the status of a rejection, or 0 if the peer closed. */
  private int acquireSlot(Received request, Socket connection, long end) {
    synchronized (this) {
      if (queued >= QUEUE_CAPACITY) {
        return UNAVAILABLE;
      }
      queued++;
    }
    try {
      while (true) {
        synchronized (this) {
          int status = admissionStatus(request, end);
          if (status != OK) {
            return status;
          }
          if (running < SLOTS) {
            running++;
            return OK;
          }
        }
        if (closesWithin(connection, POLL_INTERVAL_MILLIS)) {
          return 0;
        }
      }
    } finally {
      synchronized (this) {
        queued--;
      }
    }
  }

  private int admissionStatus(Received request, long end) {
    String expected = request.header(HeaderNames.EXPECTED_VERSION);
    if (expected != null && parseNumber(expected) != weightsVersion) {
      return MISDIRECTED;
    }
    return busy || StandardStreams.nowMillis() > end ? UNAVAILABLE : OK;
  }

  private synchronized void releaseSlot() {
    running--;
    notifyAll();
  }

  private void stream(
      Received request, Socket connection, long end, @Nullable SecondReplyKind second)
      throws IOException {
    int hash = Math.floorMod(request.body().hashCode(), Integer.MAX_VALUE);
    boolean slow = request.body().startsWith(SLOW_BODY_PREFIX);
    int fewest = slow ? MIN_SLOW_PIECES : MIN_PIECES;
    int pieces = fewest + hash % ((slow ? MAX_SLOW_PIECES : MAX_PIECES) - fewest);
    int first = (int) parseNumber(request.header(HeaderNames.LAST_EVENT)) + 1;
    long plannedMillis = (long) PIECE_MILLIS * Math.max(1, pieces - first + 1);
    String run = runs().recordStart(request, weightsVersion, plannedMillis);
    if (second != null && SecondReplies.failsFirst(second)) {
      failTwice(request, connection, run, second);
      return;
    }
    long computeMillis = preparePrompt(request, run) / TOKENS_PER_MILLISECOND;
    StringBuilder body = new StringBuilder();
    StreamWriter writer =
        new StreamWriter(connection, replies().of(connection), isCloseDelimited(run));
    boolean complete = false;
    try {
      if (closesWithin(connection, computeMillis)) {
        return;
      }
      writer.writeHead(responseHead(request, run), pieceText(run, first, pieces));
      int tornId = tornPiece(run, first, pieces);
      // A stream that is resumed after its last event has no events, only the end of the response.
      for (int id = first; id <= pieces; id++) {
        String text = pieceText(run, id, pieces);
        if (id == tornId) {
          writer.breakOff(text);
          return;
        }
        body.append(text);
        if (request.body().startsWith(LARGE_BODY_PREFIX)) {
          writer.writePadding(PADDING_CHARACTERS);
        }
        writer.writeEvent(text, pieceText(run, id + 1, pieces));
        if (closesWithin(connection, PIECE_MILLIS) || StandardStreams.nowMillis() > end) {
          connection.close();
          return;
        }
      }
      complete = true;
    } finally {
      runs().recordEnd(run, OK, body.toString(), complete);
    }
    writer.end(replies().second(second, request, OK, run, secondBody(run)));
  }

  private void failTwice(Received request, Socket connection, String run, SecondReplyKind second)
      throws IOException {
    String body = "failure of " + run;
    runs().recordEnd(run, SERVER_ERROR, body, true);
    Reply first = Reply.of(SERVER_ERROR, request.id(), body, responseHeaders(request, run));
    replies().toRequest(connection, request, first, second, run, secondBody(run));
  }

  @Override
  String secondBody(String run) {
    return new StreamPiece(1, run, false).text() + new StreamPiece(2, run, true).text();
  }

  /** Returns the text of an event, or an empty string if the stream has no such event. */
  private static String pieceText(String run, int id, int pieces) {
    return id > pieces ? "" : new StreamPiece(id, run, id == pieces).text();
  }

  private static boolean isCloseDelimited(String run) {
    return Math.floorMod(run.hashCode(), CLOSE_DELIMITED_INTERVAL) == 0;
  }

  private static int tornPiece(String run, int first, int pieces) {
    boolean torn = Math.floorMod(run.hashCode(), TORN_STREAM_INTERVAL) == 0;
    return torn ? first + Math.floorMod(run.hashCode() / TORN_STREAM_INTERVAL, pieces) : 0;
  }

  private String responseHead(Received request, String run) {
    return "HTTP/1.1 200 OK\r\n"
        + HeaderNames.REQUEST_ID
        + ": "
        + request.id()
        + "\r\n"
        + responseHeaders(request, run)
        + "\r\n"
        + HeaderNames.WEIGHTS
        + ": "
        + weightsVersion
        + "\r\nContent-Type: text/event-stream\r\n";
  }

  /** Uses the cached prefix of the prompt, computes the rest, and returns the tokens computed. */
  private long preparePrompt(Received request, String run) {
    String salt = request.header(HeaderNames.SALT) == null ? "" : request.header(HeaderNames.SALT);
    String tenant = request.header(HeaderNames.TENANT);
    List<Part> prompt = parseParts(request.header(HeaderNames.PREFIX), salt, tenant);
    List<Part> cached = new ArrayList<>();
    String source = request.header(HeaderNames.KV_FETCH);
    for (Part wanted : prompt) {
      Part found = cache.get(salt, wanted.id());
      if (found == null && source != null) {
        found = CacheCalls.fetch(source, salt, wanted.id());
      }
      if (found == null) {
        break;
      }
      cached.add(found);
      cache.add(found);
    }
    for (Part used : cached) {
      StandardStreams.writeNote(
          new Note.PartsUsed(StandardStreams.nowMillis(), run, used.maker(), used.weights()));
    }
    List<Part> computed = prompt.subList(cached.size(), prompt.size());
    computed.forEach(cache::add);
    if (request.header(HeaderNames.KV_SAVE) != null) {
      CacheCalls.save(request.header(HeaderNames.KV_SAVE), computed);
    }
    return computed.stream().mapToLong(Part::tokens).sum();
  }

  private List<Part> parseParts(@Nullable String header, String salt, @Nullable String tenant) {
    List<Part> parts = new ArrayList<>();
    if (header != null) {
      for (String item : header.split(",")) {
        String[] fields = item.split(":");
        int tokens = Integer.parseInt(fields[1]);
        parts.add(new Part(salt, fields[0], tokens, model, tenant, weightsVersion));
      }
    }
    return parts;
  }
}
