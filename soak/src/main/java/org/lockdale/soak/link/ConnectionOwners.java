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
 * Which processes opened which connections, at one moment. On the loopback every process connects
 * from the same address, so connections are looked up in the system's tables of sockets. A reading
 * takes some 20 ms where the machine has ten thousand sockets; one serves all connections that wait
 * for it.
 */
final class ConnectionOwners {

  /** Tables of sockets; a JVM's IPv4 connections mostly stand in the second one. */
  private static final List<Path> TABLES =
      List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));

  private static final int LOCAL_ADDRESS_FIELD = 1;
  private static final int REMOTE_ADDRESS_FIELD = 2;
  private static final int INODE_FIELD = 9;
  private static final int IPV4_DIGITS = 8;

  private final Map<String, String> sockets = new HashMap<>();
  private final Map<String, String> owners = new HashMap<>();

  private ConnectionOwners() {}

  /** Reads the sockets of processes, given by name and id. */
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
          String key = portOf(fields[LOCAL_ADDRESS_FIELD]) + ">" + lastNumbersOf(remote);
          sockets.put(key, "socket:[" + fields[INODE_FIELD] + "]");
        }
      }
    }
  }

  private static String portOf(String address) {
    return address.substring(address.indexOf(':') + 1);
  }

  /** Returns the IPv4 part of an address and its port. */
  private static String lastNumbersOf(String address) {
    return address.substring(address.indexOf(':') - IPV4_DIGITS);
  }

  private void readDescriptors(String process, long id) {
    Path descriptors = Path.of("/proc", Long.toString(id), "fd");
    try (DirectoryStream<Path> open = Files.newDirectoryStream(descriptors)) {
      for (Path descriptor : open) {
        owners.put(target(descriptor), process);
      }
    } catch (IOException ended) {
      // A process that has ended has no connections.
    }
  }

  private static String target(Path descriptor) {
    try {
      return Files.readSymbolicLink(descriptor).toString();
    } catch (IOException closedMeanwhile) {
      return "";
    }
  }

  /** Returns the process whose connection goes from a port to an address, or null if none does. */
  @Nullable String of(int localPort, InetSocketAddress remote) {
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
