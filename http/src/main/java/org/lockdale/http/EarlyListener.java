package org.lockdale.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;

/**
 * A listening socket that is opened before the server that will serve it. Connections that come
 * while a process still starts wait in the socket's queue instead of being refused.
 */
public final class EarlyListener implements Closeable {

  private final InetSocketAddress address;
  private final ServerSocketChannel channel;

  private EarlyListener(InetSocketAddress address, ServerSocketChannel channel) {
    this.address = address;
    this.channel = channel;
  }

  /**
   * Opens a socket.
   *
   * @param address where to listen
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

  /** Returns the address as it was asked for. */
  public InetSocketAddress address() {
    return address;
  }

  ServerSocketChannel channel() {
    return channel;
  }

  /** Closes the socket, also that of a server which was given it. */
  @Override
  public void close() {
    try {
      channel.close();
    } catch (IOException ignored) {
      // It is of no further use either way.
    }
  }
}
