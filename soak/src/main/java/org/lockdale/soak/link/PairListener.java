package org.lockdale.soak.link;

import io.netty.channel.Channel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.soak.plan.Fault.ConnectTrouble;

/** The address at which a single process reaches another, where connecting can be made to fail. */
final class PairListener {

  private static final int BACKLOG = 1;

  /** More connections than a listener with {@link #BACKLOG} accepts. */
  private static final int FILLING_CONNECTIONS = 4;

  private static final long RELEASE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long RELEASE_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final InetSocketAddress address;
  private final Supplier<Channel> binding;
  private final List<SocketChannel> filling = new ArrayList<>();
  private Channel listening;
  private @Nullable ServerSocket full;

  /**
   * Starts to listen.
   *
   * @param binding binds the address
   */
  PairListener(InetSocketAddress address, Supplier<Channel> binding) {
    this.address = address;
    this.binding = binding;
    listening = binding.get();
  }

  /** Makes all further attempts to connect fail. */
  synchronized void fail(ConnectTrouble trouble) {
    listening.close().syncUninterruptibly();
    if (trouble == ConnectTrouble.UNANSWERED) {
      try {
        listenWithoutRoom();
      } catch (IOException failed) {
        throw new UncheckedIOException(failed);
      }
    }
  }

  /** Listens with a full queue of connections, so that the system ignores further ones. */
  private void listenWithoutRoom() throws IOException {
    full = bindWhenReleased();
    for (int number = 0; number < FILLING_CONNECTIONS; number++) {
      SocketChannel connection = SocketChannel.open();
      connection.configureBlocking(false);
      connection.setOption(StandardSocketOptions.SO_LINGER, 0);
      connection.connect(address);
      filling.add(connection);
    }
  }

  /** Binds the address; the event loop releases that of a closed channel a little later. */
  private ServerSocket bindWhenReleased() throws IOException {
    long endNanos = System.nanoTime() + RELEASE_TIMEOUT_NANOS;
    while (true) {
      ServerSocket socket = new ServerSocket();
      try {
        socket.setReuseAddress(true);
        socket.bind(address, BACKLOG);
        return socket;
      } catch (BindException inUse) {
        socket.close();
        if (System.nanoTime() > endNanos) {
          throw inUse;
        }
        LockSupport.parkNanos(RELEASE_POLL_NANOS);
      }
    }
  }

  /** Accepts connections again. */
  synchronized void restore() {
    closeFullListener();
    listening = binding.get();
  }

  private void closeFullListener() {
    try {
      for (SocketChannel connection : filling) {
        connection.close();
      }
      filling.clear();
      if (full != null) {
        full.close();
        full = null;
      }
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }

  /** Stops listening. */
  synchronized void close() {
    closeFullListener();
    listening.close();
  }
}
