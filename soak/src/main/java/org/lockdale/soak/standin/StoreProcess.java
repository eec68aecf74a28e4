package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.lockdale.platform.StandInStore;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.generated.NodeRecord;

/** Runs a stand-in for the platform's metadata store. */
final class StoreProcess {

  private static final String SERVERS_TABLE = "servers";
  private static final String NODE_PREFIX = "node/";
  private static final int COMMAND_FIELDS = 5;

  private StoreProcess() {}

  /**
   * Serves until the driver closes the standard input. Node records are returned with proxied
   * addresses, so that nodes reach each other through the proxy. Each node reads at an address of
   * its own and gets addresses of servers that only it uses, so that it alone can be cut off.
   *
   * @param readers addresses at which nodes read, ordered by the numbers of the nodes
   */
  static void run(InetSocketAddress address, List<InetSocketAddress> readers) throws IOException {
    StandInStore store = new StandInStore(address, StoreProcess::proxied);
    for (int index = 0; index < readers.size(); index++) {
      int node = index + 1;
      store.listenForReader(
          readers.get(index), (table, key, value) -> forReader(node, table, value));
    }
    StandardStreams.runCommands(line -> runCommand(store, readers, line));
  }

  private static byte[] forReader(int node, String table, byte[] value) {
    if (!table.equals(SERVERS_TABLE)) {
      return value;
    }
    String text = new String(value, StandardCharsets.UTF_8);
    return Addresses.withServerAddressesFor(node, text).getBytes(StandardCharsets.UTF_8);
  }

  private static synchronized byte[] proxied(String table, String key, byte[] value) {
    if (!key.startsWith(NODE_PREFIX)) {
      return value;
    }
    NodeRecord node = MessageCodec.nodes().decode(value);
    node.setHost(Addresses.proxiedHost(node.getHost()));
    return MessageCodec.nodes().encode(node);
  }

  /**
   * Runs {@code NUMBER put TABLE KEY JSON}, {@code NUMBER remove TABLE KEY}, {@code NUMBER fault
   * FAULT}, {@code NUMBER faultFor NODE FAULT} with the number of a node, or {@code NUMBER forget},
   * then writes the number and the time.
   */
  private static void runCommand(StandInStore store, List<InetSocketAddress> readers, String line) {
    String[] fields = line.split(" ", COMMAND_FIELDS);
    switch (fields[1]) {
      case "put" -> store.put(fields[2], fields[3], fields[4]);
      case "remove" -> store.remove(fields[2], fields[3]);
      case "fault" -> store.setFault(StandInStore.Fault.valueOf(fields[2]));
      case "faultFor" ->
          store.setFaultFor(
              readers.get(Integer.parseInt(fields[2]) - 1), StandInStore.Fault.valueOf(fields[3]));
      case "forget" -> store.discardHistory();
      default -> throw new IllegalArgumentException("unknown command: " + fields[1]);
    }
    StandardStreams.writeLine(StandardStreams.DONE + fields[0] + " " + StandardStreams.nowMillis());
  }
}
