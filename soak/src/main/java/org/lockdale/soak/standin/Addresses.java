package org.lockdale.soak.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.regex.Pattern;

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

  /** Group of the servers without and with a model. */
  public static final int SERVERS_GROUP = 2;

  /** Group of the addresses at which single nodes reach the store. */
  public static final int STORE_LINKS_GROUP = 4;

  /**
   * Groups above this one, by a node's number, are those at which a single node reaches servers.
   */
  private static final int SERVER_LINKS_GROUP = 10;

  /** Proxied address and port of a server, in any node's group or in that of all servers. */
  public static final Pattern PROXIED_SERVER =
      Pattern.compile("(127\\.\\d{1,3}\\.)(?:102|1[1-9]\\d)(\\.\\d{1,3}:" + SERVICE_PORT + ")");

  /** Maximum length of a text that matches {@link #PROXIED_SERVER}. */
  public static final int MAX_ADDRESS_LENGTH = "127.255.199.255:8782".length();

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

  /** Returns the real address of a host, given by its proxied address for any node. */
  static String realHost(String proxied) {
    String real = shiftThirdOctet(proxied, -PROXIED_OFFSET);
    String[] octets = real.split("\\.");
    if (Integer.parseInt(octets[THIRD_OCTET]) > SERVER_LINKS_GROUP) {
      octets[THIRD_OCTET] = Integer.toString(SERVERS_GROUP);
    }
    return String.join(".", octets);
  }

  /** Returns the proxied address at which one node, given by its number, reaches a server. */
  public static InetSocketAddress serverAddressFor(int node, InetSocketAddress real) {
    return proxiedAddress(
        new InetSocketAddress(
            shiftThirdOctet(
                real.getAddress().getHostAddress(), SERVER_LINKS_GROUP + node - SERVERS_GROUP),
            real.getPort()));
  }

  /**
   * Replaces the proxied addresses of servers in a text by those for one node, which have the same
   * length.
   *
   * @param node number of the node, starting at 1
   */
  public static String withServerAddressesFor(int node, String text) {
    int group = SERVER_LINKS_GROUP + node + PROXIED_OFFSET;
    return PROXIED_SERVER.matcher(text).replaceAll("$1" + group + "$2");
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
