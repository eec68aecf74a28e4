package org.lockdale.soak.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Loopback addresses of one run. Each process has a real address, and a proxied one by which the
 * others reach it. Runs on the same machine differ in the second octet of their addresses.
 */
public final class Addresses {

  /** Port on which nodes, servers and stores accept requests. */
  public static final int SERVICE_PORT = 8782;

  /** Port on which a node reports whether it is ready. */
  public static final int READY_PORT = 8789;

  /** Port for the messages between nodes. */
  public static final int PEERS_PORT = 7340;

  private static final int FIRST_NETWORK = 16;
  private static final int LAST_NETWORK = 250;
  private static final int PROXIED_OFFSET = 100;
  private static final int LOCK_PORT = 7399;
  private static final int THIRD_OCTET = 2;

  private final int network;

  private Addresses(int network) {
    this.network = network;
  }

  /** Claims addresses that no other run on this machine uses, until the JVM exits. */
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
    throw new IllegalStateException("no loopback network is free; too many runs on this machine");
  }

  private static void release(ServerSocket lock) {
    try {
      lock.close();
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }

  /** Returns the real address of a port of a process, given by its group and number. */
  public InetSocketAddress realAddress(int group, int number, int port) {
    return new InetSocketAddress("127." + network + "." + group + "." + number, port);
  }

  /** Returns the proxied address that belongs to a real one. */
  public static InetSocketAddress proxiedAddress(InetSocketAddress real) {
    return new InetSocketAddress(proxiedHost(real.getAddress().getHostAddress()), real.getPort());
  }

  /** Returns the proxied address of a host, given by its real address. */
  static String proxiedHost(String real) {
    return shiftThirdOctet(real, PROXIED_OFFSET);
  }

  /** Returns the real address of a host, given by its proxied address. */
  static String realHost(String proxied) {
    return shiftThirdOctet(proxied, -PROXIED_OFFSET);
  }

  private static String shiftThirdOctet(String host, int offset) {
    String[] octets = host.split("\\.");
    octets[THIRD_OCTET] = Integer.toString(Integer.parseInt(octets[THIRD_OCTET]) + offset);
    return String.join(".", octets);
  }

  /** Returns an address in the platform's format, {@code IP:PORT}. */
  public static String format(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }
}
