package org.lockdale.soak.run;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lockdale.platform.RawBackend;
import org.lockdale.soak.judge.Note;
import org.lockdale.soak.judge.RequestFacts;
import org.lockdale.soak.judge.RequestKind;
import org.lockdale.soak.standin.HeaderNames;
import org.lockdale.soak.standin.ServerBase;
import org.lockdale.soak.standin.StandardStreams;

/**
 * A caller that asks for large streams and sends its body slowly. It then reads nothing for a while
 * and goes on, reads at a slow pace, or never reads and leaves. Its responses are judged by the
 * rules of all others, without the padding of the events.
 */
final class SlowCaller {

  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** A small buffer, so that what is not read stays with the node. */
  private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;

  private static final int DEADLINE_MILLIS = 8_000;
  private static final int MAX_PAUSE_MILLIS = 3_000;
  private static final int STAY_MILLIS = 4_000;
  private static final int READ_BYTES = 16 * 1024;
  private static final int PACE_MILLIS = 20;
  private static final int BODY_BYTES = 2_000;
  private static final int BODY_PARTS = 4;
  private static final int BODY_PAUSE_MILLIS = 100;
  private static final int PROMPT_TOKENS = 200;

  /** How a response is read. */
  private enum Pace {
    STOP_AND_GO_ON,
    SLOW,
    NEVER
  }

  private final int number;
  private final SplittableRandom random;
  private final LoadBalancer loadBalancer;
  private final NoteLog notes;
  private final Callers.Counts counts;
  private int requests;

  SlowCaller(
      int number,
      SplittableRandom random,
      LoadBalancer loadBalancer,
      NoteLog notes,
      Callers.Counts counts) {
    this.number = number;
    this.random = random;
    this.loadBalancer = loadBalancer;
    this.notes = notes;
    this.counts = counts;
  }

  /** Sends requests until {@code stopping} is set or the thread is interrupted. */
  void run(AtomicBoolean stopping) {
    try {
      while (!stopping.get()) {
        exchange();
        Thread.sleep(BODY_PAUSE_MILLIS);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void exchange() throws InterruptedException {
    String id = String.format(Locale.ROOT, "%02x%06x", number, ++requests);
    String node = loadBalancer.nodeFor(31 * number + requests);
    Pace pace = Pace.values()[random.nextInt(Pace.values().length)];
    try (Socket connection = new Socket()) {
      connection.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      connection.connect(loadBalancer.addressOf(node), CONNECT_TIMEOUT_MILLIS);
      connection.setSoTimeout(DEADLINE_MILLIS);
      send(connection, id, node);
      if (pace == Pace.NEVER) {
        Thread.sleep(STAY_MILLIS);
        connection.close();
        counts.abandoned.incrementAndGet();
        notes.add(new Note.Left(StandardStreams.nowMillis(), id));
        return;
      }
      if (pace == Pace.STOP_AND_GO_ON) {
        Thread.sleep(random.nextInt(MAX_PAUSE_MILLIS));
      }
      record(id, read(connection.getInputStream(), pace));
    } catch (IOException broken) {
      counts.failed.incrementAndGet();
    }
  }

  private void send(Socket connection, String id, String node)
      throws IOException, InterruptedException {
    String body = ServerBase.LARGE_BODY_PREFIX + " of " + id + ".".repeat(BODY_BYTES);
    RequestFacts facts =
        new RequestFacts(
            "POST",
            "/resumable/" + id,
            body,
            Processes.MODEL,
            id + ":" + PROMPT_TOKENS,
            PROMPT_TOKENS + ",80");
    notes.add(
        new Note.Sent(
            StandardStreams.nowMillis(),
            id,
            node,
            RequestKind.RESUMABLE,
            facts,
            Operator.STEADY_KEY,
            DEADLINE_MILLIS,
            0));
    counts.sent.incrementAndGet();
    RawBackend.write(connection, head(facts, id));
    int part = body.length() / BODY_PARTS;
    for (int from = 0; from < body.length(); from += part) {
      RawBackend.write(connection, body.substring(from, Math.min(body.length(), from + part)));
      Thread.sleep(BODY_PAUSE_MILLIS);
    }
  }

  private static String head(RequestFacts facts, String id) {
    return String.join(
        "\r\n",
        facts.method() + " " + facts.path() + " HTTP/1.1",
        "Host: " + Operator.HOST,
        HeaderNames.REQUEST_ID + ": " + id,
        HeaderNames.DEADLINE + ": " + DEADLINE_MILLIS,
        "Authorization: Bearer " + Operator.STEADY_KEY,
        HeaderNames.MODEL + ": " + facts.model(),
        HeaderNames.PREFIX + ": " + facts.prefix(),
        HeaderNames.USAGE + ": " + facts.usage(),
        "Connection: close",
        "Content-Length: " + facts.body().length(),
        "",
        "");
  }

  /** Reads until the connection ends; a reset ends what was read before. */
  private static String read(InputStream input, Pace pace) throws InterruptedException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      byte[] part = input.readNBytes(READ_BYTES);
      while (part.length > 0) {
        bytes.writeBytes(part);
        if (pace == Pace.SLOW) {
          Thread.sleep(PACE_MILLIS);
        }
        part = input.readNBytes(READ_BYTES);
      }
    } catch (IOException reset) {
      return bytes.toString(StandardCharsets.ISO_8859_1);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  private void record(String id, String text) {
    SlowResponse response = SlowResponse.parse(text);
    if (response == null) {
      counts.failed.incrementAndGet();
      return;
    }
    notes.add(
        new Note.Answered(
            StandardStreams.nowMillis(),
            id,
            response.status(),
            response.signature(),
            response.body(),
            response.complete()));
    (response.complete() ? counts.served : counts.rejected).incrementAndGet();
  }
}
