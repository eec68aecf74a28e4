package org.lockdale.soak.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs one stand-in: {@code store IP PORT READER-IP...}, {@code engine IP PORT ID START SERVICE
 * MODEL VERSION}, {@code plain IP PORT ID START SERVICE} or {@code cache-store IP PORT ID START}.
 */
public final class StandInProcess {

  /** Interval of a server's heartbeats, the same as in the example settings. */
  public static final long HEARTBEAT_MILLIS = 1_200;

  private StandInProcess() {}

  /** Runs until the driver closes the standard input. */
  public static void main(String[] arguments) throws IOException {
    Logger.getLogger("").setLevel(Level.WARNING);
    InetSocketAddress address = new InetSocketAddress(arguments[1], Integer.parseInt(arguments[2]));
    switch (arguments[0]) {
      case "store" -> StoreProcess.run(address, parseReaders(arguments));
      case "engine" ->
          new EngineServer(
                  parseIncarnation(arguments),
                  arguments[5],
                  arguments[6],
                  Long.parseLong(arguments[7]))
              .run(address, HEARTBEAT_MILLIS);
      case "plain" ->
          new PlainServer(parseIncarnation(arguments), arguments[5]).run(address, HEARTBEAT_MILLIS);
      case "cache-store" ->
          new CacheStoreServer(parseIncarnation(arguments)).run(address, HEARTBEAT_MILLIS);
      default -> throw new IllegalArgumentException("unknown stand-in: " + arguments[0]);
    }
  }

  private static List<InetSocketAddress> parseReaders(String... arguments) {
    return Arrays.stream(arguments)
        .skip(3)
        .map(host -> new InetSocketAddress(host, Addresses.SERVICE_PORT))
        .toList();
  }

  private static ServerBase.Incarnation parseIncarnation(String... arguments) {
    return new ServerBase.Incarnation(arguments[3], Long.parseLong(arguments[4]));
  }
}
