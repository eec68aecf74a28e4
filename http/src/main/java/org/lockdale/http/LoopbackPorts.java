package org.lockdale.http;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Chooses ports on loopback for processes that are told their address before they listen. A port
 * that the system hands out may be handed out again, to any outgoing connection, before the process
 * binds it; on a busy machine a build failed of that. These lie below the range that systems hand
 * out from, so that only another listener can take one. A port is given once to a process, as one
 * that is given and not yet bound looks free: three nodes with three addresses each met in one of
 * 800 starts.
 */
public final class LoopbackPorts {

  /** Ports below are commonly taken by services. */
  private static final int FIRST = 10_000;

  /** Linux hands out ports from here on by default. */
  private static final int END = 32_768;

  private static final int MAX_TRIES = 1_000;

  /** Half of them; those given first have long been bound, or never will be. */
  private static final int MOST_GIVEN = (END - FIRST) / 2;

  private static final Set<Integer> GIVEN = new HashSet<>();

  private LoopbackPorts() {}

  /**
   * Returns a loopback address that is free for TCP and for UDP.
   *
   * @throws IllegalStateException if none was found
   */
  public static InetSocketAddress free() {
    return free(1).get(0);
  }

  /**
   * Returns loopback addresses that are free for TCP and for UDP, each with a port of its own.
   *
   * @throws IllegalStateException if there are too few
   */
  public static synchronized List<InetSocketAddress> free(int count) {
    if (GIVEN.size() > MOST_GIVEN) {
      GIVEN.clear();
    }
    InetAddress loopback = InetAddress.getLoopbackAddress();
    Set<InetSocketAddress> addresses = new LinkedHashSet<>();
    for (int attempt = 0; addresses.size() < count; attempt++) {
      if (attempt == MAX_TRIES) {
        throw new IllegalStateException(
            "there are too few free ports on loopback; stop what holds them");
      }
      int port = ThreadLocalRandom.current().nextInt(FIRST, END);
      if (!GIVEN.contains(port) && isFree(loopback, port)) {
        GIVEN.add(port);
        addresses.add(new InetSocketAddress(loopback, port));
      }
    }
    return List.copyOf(addresses);
  }

  private static boolean isFree(InetAddress loopback, int port) {
    try (ServerSocket stream = new ServerSocket(port, 1, loopback);
        DatagramSocket datagrams = new DatagramSocket(port, loopback)) {
      return stream.isBound() && datagrams.isBound();
    } catch (IOException taken) {
      return false;
    }
  }
}
