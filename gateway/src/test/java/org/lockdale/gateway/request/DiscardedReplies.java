package org.lockdale.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.lockdale.http.HttpReply;
import org.lockdale.http.ReplyWriter;

/** Discards what is written to the caller. */
final class DiscardedReplies implements ReplyWriter {

  @Override
  public void reply(HttpReply reply) {}

  @Override
  public void startStream(int status, HttpHeaders headers) {}

  @Override
  public void write(ByteBuf part) {
    part.release();
  }

  @Override
  public void endStream() {}

  @Override
  public void abort() {}

  @Override
  public long queuedBytes() {
    return 0;
  }
}
