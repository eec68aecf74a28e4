package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Collects the complete reply to a call. Runs on the event loop of the call. */
final class ReplyCollector implements HttpResponseListener {

  private final ReplyCheck check;
  private final CollectedReplies collected;
  private final CompletableFuture<HttpReply> result;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private int status;
  private HttpHeaders headers = new DefaultHttpHeaders();
  private @Nullable HttpReply complete;

  /**
   * Creates a collector.
   *
   * @param check tells surplus replies
   * @param collected bounds the replies that are collected at the same time
   * @param result receives the reply, or why there is none
   */
  ReplyCollector(
      ReplyCheck check, CollectedReplies collected, CompletableFuture<HttpReply> result) {
    this.check = check;
    this.collected = collected;
    this.result = result;
    result.whenComplete((reply, failure) -> collected.remove(this));
  }

  @Override
  public void onHead(int replyStatus, HttpHeaders replyHeaders) {
    status = replyStatus;
    headers = replyHeaders;
  }

  @Override
  public void onContent(ByteBuf content) {
    ReplyCollector largest = collected.add(this, content.readableBytes());
    if (largest != null) {
      largest.giveUp();
    }
    if (result.isDone()) {
      collected.remove(this);
      return;
    }
    byte[] part = new byte[content.readableBytes()];
    content.readBytes(part);
    body.writeBytes(part);
  }

  /** Fails the call; from any thread. */
  private void giveUp() {
    result.completeExceptionally(
        new HttpCallException(
            HttpCallException.Stage.BROKEN_REPLY, "the reply exceeds the size limit"));
  }

  @Override
  public boolean acceptsComplete() {
    HttpReply reply = new HttpReply(status, headers, body.toByteArray());
    if (check.accepts(reply)) {
      complete = reply;
      return true;
    }
    body.reset();
    collected.remove(this);
    return false;
  }

  @Override
  public void onEnd() {
    result.complete(complete);
  }

  @Override
  public void onFailure(HttpCallException failure) {
    result.completeExceptionally(failure);
  }
}
