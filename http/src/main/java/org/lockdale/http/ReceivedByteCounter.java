package org.lockdale.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Counts the bytes of a connection before they are decoded, since the decoder passes on neither
 * blank lines nor chunk sizes. The limits are checked once a read has been decoded, as well as
 * whether the bytes were due.
 */
final class ReceivedByteCounter extends ChannelInboundHandlerAdapter {

  private final ResponseReader reader;

  ReceivedByteCounter(ResponseReader reader) {
    this.reader = reader;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof ByteBuf bytes) {
      reader.recordReceived(bytes.readableBytes());
    }
    context.fireChannelRead(message);
    reader.checkProgress(context);
    reader.checkIdle(context);
  }
}
