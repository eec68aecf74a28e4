package org.lockdale.soak.standin;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Kills the gateway nodes of a run whose driver was killed. A node does not read its standard input
 * and so does not notice the end of the driver; a stand-in does, and the driver sends it the
 * process ids of the nodes.
 */
public final class NodeReaper {

  /** Prefix of a line with the process id of a node. */
  public static final String COMMAND = "guard ";

  private static final List<ProcessHandle> NODES = new CopyOnWriteArrayList<>();

  private NodeReaper() {}

  /** Processes a line of the driver; lines without the prefix are ignored. */
  static void handleCommand(String line) {
    if (line.startsWith(COMMAND)) {
      ProcessHandle.of(Long.parseLong(line.substring(COMMAND.length()))).ifPresent(NODES::add);
    }
  }

  /** Kills the nodes that still run; a handle never refers to a later process with the same id. */
  static void killNodes() {
    NODES.forEach(ProcessHandle::destroyForcibly);
  }
}
