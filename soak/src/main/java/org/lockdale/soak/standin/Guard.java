package org.lockdale.soak.standin;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Ends the gateway nodes of a run whose driver was killed. Nodes don't notice that, since they have
 * no pipe to it; a stand-in does, and it knows the nodes from the driver.
 */
public final class Guard {

  /** Begins a line with the id of a node's process. */
  public static final String COMMAND = "guard ";

  private static final List<ProcessHandle> NODES = new CopyOnWriteArrayList<>();

  private Guard() {}

  /** Takes a line of the driver. */
  static void take(String line) {
    if (line.startsWith(COMMAND)) {
      ProcessHandle.of(Long.parseLong(line.substring(COMMAND.length()))).ifPresent(NODES::add);
    }
  }

  /** Kills those nodes that still run; a handle doesn't reach a later process of the same id. */
  static void endNodes() {
    NODES.forEach(ProcessHandle::destroyForcibly);
  }
}
