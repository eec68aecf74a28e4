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
 * Chooses loopback ports for processes whose addresses are needed before they listen. An ephemeral
 * port from the operating system may be assigned again, to any outgoing connection, before the
 * process binds it, which can fail a build on a busy machine. The ports of this class lie below the
 * ephemeral range, so only another listener can take one. A port that was returned is not returned
 * again in the same JVM, because it looks free until it is bound: without that, the nine addresses
 * of three nodes collided in one of 800 starts.
 */
public final class LoopbackPorts {

  /** First port to choose from; services commonly use those below. */
  private static final int FIRST_PORT = 10_000;

  /** End of the ports to choose from, exclusive; the ephemeral range of Linux starts here. */
  private static final int END_PORT = 32_768;

  private static final int MAX_TRIES = 1_000;

  /**
   * Number of returned ports above which all of them are forgotten: half of the range. By then the
   * first ones have long been bound or will never be.
   */
  private static final int MAX_ASSIGNED = (END_PORT - FIRST_PORT) / 2;

  private static final Set<Integer> ASSIGNED = new HashSet<>();

  private LoopbackPorts() {}

  /**
   * Returns a loopback address whose port is free for both TCP and UDP.
   *
   * @throws IllegalStateException if no free port is found
   */
  public static InetSocketAddress free() {
    return free(1).get(0);
  }

  /**
   * Returns loopback addresses with distinct ports that are free for both TCP and UDP.
   *
   * @param count number of addresses
   * @throws IllegalStateException if too few free ports are found
   */
  public static synchronized List<InetSocketAddress> free(int count) {
    if (ASSIGNED.size() > MAX_ASSIGNED) {
      ASSIGNED.clear();
    }
    InetAddress loopback = InetAddress.getLoopbackAddress();
    Set<InetSocketAddress> addresses = new LinkedHashSet<>();
    for (int attempt = 0; addresses.size() < count; attempt++) {
      if (attempt == MAX_TRIES) {
        throw new IllegalStateException(
            "there are too few free ports on loopback; stop processes that hold ports");
      }
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
      if (!ASSIGNED.contains(port) && isFree(loopback, port)) {
        ASSIGNED.add(port);
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
