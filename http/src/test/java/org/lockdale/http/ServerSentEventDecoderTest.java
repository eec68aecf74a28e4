package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Tests that events are decoded however the stream is split into parts. */
public final class ServerSentEventDecoderTest {

  private static final int SEEDS = 300;
  private static final String STREAM =
      "id: 0\ndata: {\"a\":1}\n\nid: 12\ndata: x\n\ndata: no id\n\nid: x\ndata: y\n\n"
          + ServerSentEventDecoder.DONE;

  private static List<String> decode(String stream, Random random) {
    List<String> events = new ArrayList<>();
    try (ServerSentEventDecoder decoder =
        new ServerSentEventDecoder(
            (id, event) -> events.add(id + "=" + event.toString(StandardCharsets.UTF_8)))) {
      byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
      int from = 0;
      while (from < bytes.length) {
        int length = Math.min(bytes.length - from, 1 + random.nextInt(9));
        ByteBuf part = Unpooled.copiedBuffer(bytes, from, length);
        decoder.decode(part);
        part.release();
        from += length;
      }
    }
    return events;
  }

  /** The result does not depend on where the stream is split. */
  @Test
  public void anyCutGivesTheSameEvents() {
    List<String> expected =
        List.of(
            "0=id: 0\ndata: {\"a\":1}\n\n",
            "12=id: 12\ndata: x\n\n",
            "-1=data: no id\n\n",
            "-1=id: x\ndata: y\n\n",
            "-1=" + ServerSentEventDecoder.DONE);
    for (int seed = 0; seed < SEEDS; seed++) {
      assertEquals(decode(STREAM, new Random(seed)), expected, "seed " + seed);
    }
  }

  @Test
  public void linesMayEndWithCarriageReturnsToo() {
    String stream = "id: 0\r\ndata: x\r\n\r\nid: 7\r\ndata: y\r\n\r\n";
    List<String> expected = List.of("0=id: 0\r\ndata: x\r\n\r\n", "7=id: 7\r\ndata: y\r\n\r\n");
    for (int seed = 0; seed < SEEDS; seed++) {
      assertEquals(decode(stream, new Random(seed)), expected, "seed " + seed);
    }
  }

  /** Only {@link ServerSentEventDecoder#DONE} is the end marker. */
  /** Guards against a queued event that the next parts of the stream overwrite. */
  @Test
  public void anEventThatIsRetainedKeepsItsBytes() {
    List<ByteBuf> retained = new ArrayList<>();
    try (ServerSentEventDecoder decoder =
        new ServerSentEventDecoder((id, event) -> retained.add(event.retainedSlice()))) {
      for (String part : List.of("id: 1\nda", "ta: first\n\nid: 2\ndata:", " second\n\nid: 3\n")) {
        ByteBuf bytes = Unpooled.copiedBuffer(part, StandardCharsets.UTF_8);
        decoder.decode(bytes);
        bytes.release();
      }
      assertEquals(retained.get(0).toString(StandardCharsets.UTF_8), "id: 1\ndata: first\n\n");
      assertEquals(retained.get(1).toString(StandardCharsets.UTF_8), "id: 2\ndata: second\n\n");
    }
    retained.forEach(ByteBuf::release);
  }

  @Test
  public void theEndMarkerIsRecognized() {
    ByteBuf done = Unpooled.copiedBuffer(ServerSentEventDecoder.DONE, StandardCharsets.UTF_8);
    ByteBuf other = Unpooled.copiedBuffer("data: [DONE!\n\n", StandardCharsets.UTF_8);
    assertTrue(ServerSentEventDecoder.isDone(done));
    assertFalse(ServerSentEventDecoder.isDone(other));
  }

  /** A stream that has sent comments only can still be replaced by that of another server. */
  @Test
  public void commentsBeforeTheFirstEventAreHeldUntilIt() {
    String stream = ": a\n\n:\n\nid: 1\ndata: x\n\n: b\n\nid: 2\ndata: y\n\n: c\n\n";
    List<String> expected =
        List.of(
            "-1=: a\n\n:\n\n",
            "1=id: 1\ndata: x\n\n",
            "-1=: b\n\n",
            "2=id: 2\ndata: y\n\n",
            "-1=: c\n\n");
    for (int seed = 0; seed < SEEDS; seed++) {
      assertEquals(decode(stream, new Random(seed)), expected, "seed " + seed);
    }
  }

  private static void decodeRepeatedly(String start, String repeated, int times) {
    try (ServerSentEventDecoder decoder = new ServerSentEventDecoder((id, event) -> {})) {
      decoder.decode(Unpooled.copiedBuffer(start, StandardCharsets.UTF_8));
      for (int count = 0; count < times; count++) {
        decoder.decode(Unpooled.copiedBuffer(repeated, StandardCharsets.UTF_8));
      }
    }
  }

  @Test
  public void commentsWithoutAnEventAreBounded() {
    String comments = ": x\n\n".repeat(1024);
    decodeRepeatedly("", comments, 200);
    decodeRepeatedly("id: 1\ndata: x\n\n", comments, 200);
    expectThrows(IllegalArgumentException.class, () -> decodeRepeatedly("", comments, 300));
    expectThrows(
        IllegalArgumentException.class,
        () -> decodeRepeatedly("id: 1\ndata: x\n\n", comments, 300));
    decodeRepeatedly("", comments + "data: x\n\n", 1000);
  }

  @Test
  public void aStreamThatEndsWithCommentsEndsBetweenEvents() {
    try (ServerSentEventDecoder decoder = new ServerSentEventDecoder((id, event) -> {})) {
      decoder.decode(Unpooled.copiedBuffer(": a\n\n", StandardCharsets.UTF_8));
      assertTrue(decoder.isBetweenEvents());
      assertTrue(decoder.remainder().isReadable());
      decoder.decode(Unpooled.copiedBuffer("data: x", StandardCharsets.UTF_8));
      assertFalse(decoder.isBetweenEvents());
    }
  }
}
