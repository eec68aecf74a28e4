package org.lockdale.http;

import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.RejectedExecutionException;

/** A listening channel that can be closed so that its port is released as well. */
final class ListenerChannel extends NioServerSocketChannel {

  /** Creates a channel with a socket of its own. */
  ListenerChannel() {}

  /**
   * Creates a channel for a socket that listens already.
   *
   * @param socket the socket; the channel closes it
   */
  ListenerChannel(ServerSocketChannel socket) {
    super(socket);
  }

  /**
   * Closes the channel and waits until its port is released.
   *
   * <p>The system accepts connections for a closed channel until the event loop's selector has
   * deregistered it, which happens when the loop next selects. The event loop can't wait for that
   * itself: if it calls this method, the port is released when it next selects.
   */
  void closeAndAwaitRelease() {
    close().awaitUninterruptibly();
    EventLoop loop = eventLoop();
    if (loop.inEventLoop()) {
      return;
    }
    try {
      while (isRegisteredWithSelector(loop)) {
        // The event loop selects between the batches of its tasks.
      }
    } catch (RejectedExecutionException ended) {
      // An event loop that ends closes its selector, which releases the sockets.
      loop.terminationFuture().awaitUninterruptibly();
    }
  }

  /** Asks on the event loop, since only between selections is the socket surely released. */
  private boolean isRegisteredWithSelector(EventLoop loop) {
    return loop.submit(() -> javaChannel().isRegistered()).syncUninterruptibly().getNow();
  }
}
