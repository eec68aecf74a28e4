package org.lockdale.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Tells the orderly close of a connection by the peer, which completes a reply without a length,
 * from all other ends: a reset, a failed write, a timeout, and a close by this process. Needs
 * {@link io.netty.channel.ChannelOption#ALLOW_HALF_CLOSURE}, without which all of them look alike.
 */
final class ConnectionEnd extends ChannelInboundHandlerAdapter {

  private boolean closedByPeer;
  private boolean failed;

  /** Returns whether the peer has closed the connection after everything that it has sent. */
  boolean isOrderly() {
    return closedByPeer && !failed;
  }

  /** Closes the connection on this side as well once the peer has closed it. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event == ChannelInputShutdownEvent.INSTANCE) {
      closedByPeer = true;
      context.close();
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  /** A failed read ends the input too, but what has arrived until then may not be all. */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    failed = true;
    context.fireExceptionCaught(cause);
  }
}
