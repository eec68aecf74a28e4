package org.lockdale.soak.link;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A snapshot of which process opened which connection. On the loopback interface all processes
 * connect from the same address, so owners are looked up in the system's socket tables. Reading
 * them takes about 20 ms with ten thousand sockets; one snapshot serves all pending connections.
 */
final class ConnectionOwners {

  /** Socket tables; the IPv4 connections of a JVM are mostly listed in the second one. */
  private static final List<Path> TABLES =
      List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

  private static final int LOCAL_ADDRESS_FIELD = 1;
  private static final int REMOTE_ADDRESS_FIELD = 2;
  private static final int INODE_FIELD = 9;
  private static final int IPV4_DIGITS = 8;

  private final Map<String, String> sockets = new HashMap<>();
  private final Map<String, String> owners = new HashMap<>();

  private ConnectionOwners() {}

  /**
   * Reads the sockets of processes.
   *
   * @param processes ids of the processes by name
   * @throws IOException if a socket table cannot be read
   */
  static ConnectionOwners read(Map<String, Long> processes) throws IOException {
    ConnectionOwners read = new ConnectionOwners();
    for (Path table : TABLES) {
      read.readTable(table);
    }
    for (Map.Entry<String, Long> process : processes.entrySet()) {
      read.readDescriptors(process.getKey(), process.getValue());
    }
    return read;
  }

  private void readTable(Path table) throws IOException {
    try (BufferedReader lines = Files.newBufferedReader(table)) {
      lines.readLine();
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        String[] fields = line.trim().split("\\s+", INODE_FIELD + 2);
        if (!fields[INODE_FIELD].equals("0")) {
          String remote = fields[REMOTE_ADDRESS_FIELD];
          String key = portOf(fields[LOCAL_ADDRESS_FIELD]) + ">" + ipv4AddressAndPort(remote);
          sockets.put(key, "socket:[" + fields[INODE_FIELD] + "]");
        }
      }
    }
  }

  private static String portOf(String address) {
    return address.substring(address.indexOf(':') + 1);
  }

  /** Returns the IPv4 part of an address and its port. */
  private static String ipv4AddressAndPort(String address) {
    return address.substring(address.indexOf(':') - IPV4_DIGITS);
  }

  private void readDescriptors(String process, long id) {
    Path descriptors = Path.of("/proc", Long.toString(id), "fd");
    try (DirectoryStream<Path> open = Files.newDirectoryStream(descriptors)) {
      for (Path descriptor : open) {
        owners.put(linkTarget(descriptor), process);
      }
    } catch (IOException ended) {
      // A terminated process has no connections.
    }
  }

  private static String linkTarget(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString();
    } catch (IOException closedMeanwhile) {
      return "";
    }
  }

  /** Returns the process that owns the connection from a port to an address, or null if none. */
  @Nullable String ownerOf(int localPort, InetSocketAddress remote) {
    byte[] bytes = remote.getAddress().getAddress();
    String key =
        String.format(
            Locale.ROOT,
            "%04X>%02X%02X%02X%02X:%04X",
            localPort,
            bytes[3],
            bytes[2],
            bytes[1],
            bytes[0],
            remote.getPort());
    return owners.get(sockets.getOrDefault(key, "none"));
  }
}
