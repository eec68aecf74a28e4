package org.lockdale.soak.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.lockdale.platform.RawBackend;
import org.lockdale.platform.RawBackend.Received;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.judge.StreamPiece;
import org.lockdale.soak.standin.CachedParts.Part;

/** A model server: it streams, keeps parts of prompts, reports, and takes orders. */
final class EngineServer extends ServerBase {

  private static final int SLOTS = 6;

  /** Requests that may wait for a slot. */
  private static final int QUEUE = 6;

  private static final int PIECE_MILLIS = 40;
  private static final int FEWEST_PIECES = 3;
  private static final int MOST_PIECES = 30;
  private static final int WAIT_STEP_MILLIS = 10;

  /** Tokens computed in a millisecond. */
  private static final int TOKENS_PER_MILLI = 20;

  private static final long LOAD_MILLIS = 600;

  /** One stream in so many is broken off inside an event. */
  private static final int TORN_PARTS = 40;

  private final String model;
  private final CachedParts cache = new CachedParts();
  private long weights;
  private boolean busy;
  private int running;
  private int queued;
  private long orders;
  private long highestFence;

  EngineServer(Life life, String service, String model, long weights) {
    super(life, service);
    this.model = model;
    this.weights = weights;
  }

  @Override
  synchronized String row() {
    ObjectNode row = rowOf(SLOTS);
    row.put("stage", "colocated");
    row.putArray("models").addObject().put("name", model).put("version", weights);
    return row.toString();
  }

  @Override
  boolean control(Received request, Socket connection) throws IOException {
    String path = request.line().split(" ")[1];
    if (path.equals("/report")) {
      answer(connection, OK, "", report(), "Content-Type: application/json");
    } else if (path.equals("/order")) {
      answer(connection, order(request), "", "");
    } else if (path.equals("/health")) {
      answer(connection, OK, "", "", "Lockdale-Instance-Id: " + id());
    } else {
      return CacheCalls.serve(cache, request, connection);
    }
    return true;
  }

  private synchronized String report() {
    ObjectNode body = self().put("stage", "colocated");
    body.putArray("models").addObject().put("name", model).put("version", weights);
    return body.put("busy", busy)
        .put("seq", orders)
        .put("queued", queued)
        .put("running", running)
        .toString();
  }

  private synchronized int order(Received request) throws IOException {
    String target = request.header(Wire.TARGET);
    if (target != null && !target.equals(id())) {
      return MISDIRECTED;
    }
    JsonNode body = StandardStreams.MAPPER.readTree(request.body());
    long fence = body.path("fence").asLong();
    if (fence < highestFence) {
      return 412;
    }
    highestFence = fence;
    StandardStreams.note(
        new Note.Ordered(
            StandardStreams.nowMillis(), instance(), body.path("holder").asText(), fence));
    long version = body.path("version").asLong();
    if (version == weights && !busy) {
      return OK;
    }
    if (busy || body.has("expectedRev") && body.path("expectedRev").asLong() != orders) {
      return 409;
    }
    orders++;
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
      weights = version;
      busy = false;
    }
    sayRow();
  }

  @Override
  void execute(Received request, Socket connection) throws IOException {
    long end = StandardStreams.nowMillis() + number(request.header(Wire.DEADLINE));
    int refusal = enter(request, connection, end);
    if (refusal == 0) {
      return;
    }
    if (refusal != OK) {
      reject(request, connection, refusal);
      return;
    }
    try {
      stream(request, connection, end);
    } finally {
      leave();
    }
  }

  /** Waits for a slot; returns 200, the status of a refusal, or 0 if the peer has gone. */
  private int enter(Received request, Socket connection, long end) {
    synchronized (this) {
      if (queued >= QUEUE) {
        return UNAVAILABLE;
      }
      queued++;
    }
    try {
      while (true) {
        synchronized (this) {
          int refusal = refusal(request, end);
          if (refusal != OK) {
            return refusal;
          }
          if (running < SLOTS) {
            running++;
            return OK;
          }
        }
        if (closesWithin(connection, WAIT_STEP_MILLIS)) {
          return 0;
        }
      }
    } finally {
      synchronized (this) {
        queued--;
      }
    }
  }

  private int refusal(Received request, long end) {
    String expected = request.header(Wire.EXPECTED_VERSION);
    if (expected != null && number(expected) != weights) {
      return MISDIRECTED;
    }
    return busy || StandardStreams.nowMillis() > end ? UNAVAILABLE : OK;
  }

  private synchronized void leave() {
    running--;
    notifyAll();
  }

  private void stream(Received request, Socket connection, long end) throws IOException {
    int draw = Math.floorMod(request.body().hashCode(), Integer.MAX_VALUE);
    int pieces = FEWEST_PIECES + draw % (MOST_PIECES - FEWEST_PIECES);
    int first = (int) number(request.header(Wire.LAST_EVENT)) + 1;
    long lasts = (long) PIECE_MILLIS * Math.max(1, pieces - first + 1);
    String run = begin(request, weights, lasts);
    long computing = useParts(request, run) / TOKENS_PER_MILLI;
    StringBuilder body = new StringBuilder();
    boolean whole = false;
    try {
      if (closesWithin(connection, computing)) {
        return;
      }
      RawBackend.write(connection, head(request, run));
      int tornAt = tornAt(run, first, pieces);
      // One that is continued after its last piece has nothing left but its end.
      for (int id = first; id <= pieces; id++) {
        String text = new StreamPiece(id, run, id >= pieces).text();
        if (id == tornAt) {
          RawBackend.write(connection, RawBackend.chunk(text.substring(0, text.length() / 2)));
          RawBackend.reset(connection);
          return;
        }
        body.append(text);
        RawBackend.write(connection, RawBackend.chunk(text));
        if (closesWithin(connection, PIECE_MILLIS) || StandardStreams.nowMillis() > end) {
          connection.close();
          return;
        }
      }
      whole = true;
    } finally {
      end(run, OK, body.toString(), whole);
    }
    RawBackend.write(connection, "0\r\n\r\n");
  }

  private static int tornAt(String run, int first, int pieces) {
    boolean torn = Math.floorMod(run.hashCode(), TORN_PARTS) == 0;
    return torn ? first + Math.floorMod(run.hashCode() / TORN_PARTS, pieces) : 0;
  }

  private String head(Received request, String run) {
    return "HTTP/1.1 200 OK\r\n"
        + Wire.REQUEST_ID
        + ": "
        + request.id()
        + "\r\n"
        + signed(request, run)
        + "\r\n"
        + Wire.WEIGHTS
        + ": "
        + weights
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  }

  /** Uses what is held of the prompt, makes the rest, and returns the tokens computed. */
  private long useParts(Received request, String run) {
    String salt = request.header(Wire.SALT) == null ? "" : request.header(Wire.SALT);
    String tenant = request.header(Wire.TENANT);
    List<Part> prompt = partsOf(request.header(Wire.PREFIX), salt, tenant);
    List<Part> held = new ArrayList<>();
    String source = request.header(Wire.KV_FETCH);
    for (Part part : prompt) {
      Part found = cache.get(salt, part.id());
      if (found == null && source != null) {
        found = CacheCalls.fetch(source, salt, part.id());
      }
      if (found == null) {
        break;
      }
      held.add(found);
      cache.add(found);
    }
    for (Part used : held) {
      StandardStreams.note(
          new Note.PartsUsed(StandardStreams.nowMillis(), run, used.maker(), used.weights()));
    }
    List<Part> made = prompt.subList(held.size(), prompt.size());
    made.forEach(cache::add);
    if (request.header(Wire.KV_SAVE) != null) {
      CacheCalls.save(request.header(Wire.KV_SAVE), made);
    }
    return made.stream().mapToLong(Part::tokens).sum();
  }

  private List<Part> partsOf(@Nullable String header, String salt, @Nullable String tenant) {
    List<Part> parts = new ArrayList<>();
    if (header != null) {
      for (String item : header.split(",")) {
        String[] fields = item.split(":");
        int tokens = Integer.parseInt(fields[1]);
        parts.add(new Part(salt, fields[0], tokens, model, tenant, weights));
      }
    }
    return parts;
  }
}
