package org.lockdale.soak.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Loopback addresses of one run. Each process has an address of its own and a proxied one, by which
 * the others reach it; runs on one machine keep apart by the second number of their addresses.
 */
public final class Addresses {

  /** Port on which callers, engines, servers and stores are reached. */
  public static final int SERVICE_PORT = 8782;

  /** Port on which a node tells whether it serves. */
  public static final int READY_PORT = 8789;

  /** Port on which nodes hear each other. */
  public static final int PEERS_PORT = 7340;

  private static final int FIRST_NETWORK = 16;
  private static final int LAST_NETWORK = 250;
  private static final int PROXIED_OFFSET = 100;
  private static final int LOCK_PORT = 7399;
  private static final int THIRD_NUMBER = 2;

  private final int network;

  private Addresses(int network) {
    this.network = network;
  }

  /** Claims addresses that no other run on this machine has; they are free when the JVM ends. */
  public static Addresses claim() {
    for (int network = FIRST_NETWORK; network <= LAST_NETWORK; network++) {
      try {
        ServerSocket lock =
            new ServerSocket(LOCK_PORT, 1, InetAddress.getByName("127." + network + ".0.1"));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> release(lock)));
        return new Addresses(network);
      } catch (IOException taken) {
        continue;
      }
    }
    throw new IllegalStateException("too many runs on this machine");
  }

  private static void release(ServerSocket lock) {
    try {
      lock.close();
    } catch (IOException ignored) {
      throw new UncheckedIOException(ignored);
    }
  }

  /** Returns the address of the process with a number of a group. */
  public InetSocketAddress real(int group, int number, int port) {
    return new InetSocketAddress("127." + network + "." + group + "." + number, port);
  }

  /** Returns the address by which others reach a process. */
  public static InetSocketAddress proxied(InetSocketAddress real) {
    return new InetSocketAddress(proxiedHost(real.getAddress().getHostAddress()), real.getPort());
  }

  /** Returns the proxied address of a host. */
  static String proxiedHost(String real) {
    return shifted(real, PROXIED_OFFSET);
  }

  /** Returns the address of a host's own process. */
  static String realHost(String proxied) {
    return shifted(proxied, -PROXIED_OFFSET);
  }

  private static String shifted(String host, int offset) {
    String[] numbers = host.split("\\.");
    numbers[THIRD_NUMBER] = Integer.toString(Integer.parseInt(numbers[THIRD_NUMBER]) + offset);
    return String.join(".", numbers);
  }

  /** Returns an address as the platform writes it. */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
