package org.lockdale.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * A listening socket that is opened before its {@link HttpServer} starts. Connections that arrive
 * while the process is still starting wait in the socket's backlog instead of being refused.
 */
public final class EarlyListener implements Closeable {

  private final InetSocketAddress address;
  private final ServerSocketChannel channel;

  private EarlyListener(InetSocketAddress address, ServerSocketChannel channel) {
    this.address = address;
    this.channel = channel;
  }

  /**
   * Opens a listening socket.
   *
   * @param address address to bind
   * @throws HttpBindException if the address can't be bound
   */
  public static EarlyListener open(InetSocketAddress address) {
    try {
      ServerSocketChannel channel = ServerSocketChannel.open();
      channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      channel.bind(address, HttpServer.LISTEN_BACKLOG);
      return new EarlyListener(address, channel);
    } catch (IOException cause) {
      throw new HttpBindException(address, cause);
    }
  }

  /** Returns the address that was passed to {@link #open}; its port may be 0. */
  public InetSocketAddress address() {
    return address;
  }

  ServerSocketChannel channel() {
    return channel;
  }

  /** Closes the socket, even if a server accepts connections on it by now. */
  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException ignored) {
      // The socket is no longer used, so a failure to close it has no consequence.
    }
  }
}
