package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import org.lockdale.platform.StandInStore;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.generated.NodeRecord;

/** The platform's metadata store as a process. */
final class StoreProcess {

  private static final String NODE_PREFIX = "node/";
  private static final int COMMAND_FIELDS = 5;

  private StoreProcess() {}

  /** Serves until the driver has gone; nodes find each other at their proxied addresses. */
  static void run(InetSocketAddress address) throws IOException {
    StandInStore store = new StandInStore(address, StoreProcess::proxied);
    StandardStreams.obey(line -> obey(store, line));
  }

  private static synchronized byte[] proxied(String table, String key, byte[] value) {
    if (!key.startsWith(NODE_PREFIX)) {
      return value;
    }
    NodeRecord row = MessageCodec.nodes().decode(value);
    row.setHost(Addresses.proxiedHost(row.getHost()));
    return MessageCodec.nodes().encode(row);
  }

  /** Obeys {@code NUMBER put TABLE KEY JSON}, {@code remove}, {@code fault} and {@code forget}. */
  private static void obey(StandInStore store, String line) {
    String[] words = line.split(" ", COMMAND_FIELDS);
    switch (words[1]) {
      case "put" -> store.put(words[2], words[3], words[4]);
      case "remove" -> store.remove(words[2], words[3]);
      case "fault" -> store.setFault(StandInStore.Fault.valueOf(words[2]));
      case "forget" -> store.forgetHistory();
      default -> throw new IllegalArgumentException("there is no command " + words[1]);
    }
    StandardStreams.say(StandardStreams.DONE + words[0] + " " + StandardStreams.nowMillis());
  }
}
