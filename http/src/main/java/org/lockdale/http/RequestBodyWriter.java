package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;

/**
 * Writes a large request body in parts, each after the peer's socket has taken the one before. A
 * body on the heap is copied to native memory when it is written, so writing all of it at once
 * would hold it twice while a peer reads slowly.
 */
final class RequestBodyWriter {

  /**
   * Size of a part, in bytes: small against a bound of megabytes, and few parts for most bodies.
   */
  static final int PART_BYTES = 64 * 1024;

  private final Channel channel;
  private final byte[] body;
  private final Runnable onWritten;

  private RequestBodyWriter(Channel channel, byte[] body, Runnable onWritten) {
    this.channel = channel;
    this.body = body;
    this.onWritten = onWritten;
  }

  /**
   * Writes a request.
   *
   * @param channel connection to the peer
   * @param head request line and headers
   * @param body body of the request
   * @param onWritten run on the event loop when the last part was taken; not run if the connection
   *     is closed before that
   */
  static void write(Channel channel, DefaultHttpRequest head, byte[] body, Runnable onWritten) {
    channel.write(head, channel.voidPromise());
    new RequestBodyWriter(channel, body, onWritten).writeFrom(0);
  }

  private void writeFrom(int offset) {
    int length = Math.min(PART_BYTES, body.length - offset);
    int next = offset + length;
    ByteBuf part = Unpooled.wrappedBuffer(body, offset, length);
    boolean last = next == body.length;
    channel
        .writeAndFlush(last ? new DefaultLastHttpContent(part) : new DefaultHttpContent(part))
        .addListener((ChannelFuture written) -> onPartWritten(written, next));
  }

  /** Continues unless the connection was closed, which the reader of the reply reports. */
  private void onPartWritten(ChannelFuture written, int next) {
    if (!written.isSuccess()) {
      return;
    }
    if (next == body.length) {
      onWritten.run();
    } else {
      writeFrom(next);
    }
  }
}
