package org.lockdale.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.Test;

/** Tests that all replies that are collected at the same time stay within one bound. */
public final class CollectedRepliesTest {

  private static final int CALLS = 8;
  private static final int PART_BYTES = 64 * 1024;
  private static final int SOUND_BYTES = 256 * 1024;

  private final CollectedReplies collected = new CollectedReplies();

  private ReplyCollector collector(CompletableFuture<HttpReply> result) {
    ReplyCollector collector = new ReplyCollector(reply -> true, collected, result);
    collector.onHead(200, new DefaultHttpHeaders());
    return collector;
  }

  private static void receive(ReplyCollector collector, int bytes) {
    collector.onContent(Unpooled.wrappedBuffer(new byte[bytes]));
  }

  @Test
  public void endlessRepliesFailBeforeTheyExceedTheBoundTogether() {
    List<CompletableFuture<HttpReply>> results = new ArrayList<>();
    List<ReplyCollector> collectors = new ArrayList<>();
    for (int call = 0; call < CALLS; call++) {
      CompletableFuture<HttpReply> result = new CompletableFuture<>();
      results.add(result);
      collectors.add(collector(result));
    }
    CompletableFuture<HttpReply> sound = new CompletableFuture<>();
    ReplyCollector soundCollector = collector(sound);
    receive(soundCollector, SOUND_BYTES);
    long[] held = new long[CALLS];
    for (int part = 0; part < CollectedReplies.MAX_BYTES / PART_BYTES; part++) {
      for (int call = 0; call < CALLS; call++) {
        if (!results.get(call).isDone()) {
          receive(collectors.get(call), PART_BYTES);
          held[call] += PART_BYTES;
        }
      }
      assertTrue(sumOfOpen(results, held) + SOUND_BYTES <= CollectedReplies.MAX_BYTES);
    }
    assertTrue(results.stream().filter(CompletableFuture::isCompletedExceptionally).count() > 1);
    assertFalse(sound.isDone());
    assertTrue(soundCollector.acceptsComplete());
    soundCollector.onEnd();
    assertEquals(sound.join().body().length, SOUND_BYTES);
  }

  private static long sumOfOpen(List<CompletableFuture<HttpReply>> results, long[] held) {
    long sum = 0;
    for (int call = 0; call < results.size(); call++) {
      sum += results.get(call).isDone() ? 0 : held[call];
    }
    return sum;
  }
}
