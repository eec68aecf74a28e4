package org.lockdale.soak.run;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Selects the build of the gateway that a node runs at each start. If there is a previous build,
 * every second node starts with it and each restart of a node switches to the other build, so that
 * updates and rollbacks happen at any time.
 */
final class NodeBuilds {

  private final GatewayProgram current;
  private final @Nullable GatewayProgram previous;
  private final Map<String, Integer> starts = new ConcurrentHashMap<>();

  /**
   * A build of the gateway.
   *
   * @param program command and settings of the build
   * @param isFormer whether it is the previous build
   */
  record Build(GatewayProgram program, boolean isFormer) {}

  private NodeBuilds(GatewayProgram current, @Nullable GatewayProgram previous) {
    this.current = current;
    this.previous = previous;
  }

  /**
   * Reads the deploy files of the builds.
   *
   * @param root directory of the repository, with the built gateway
   * @param previousRoot directory of the repository of a previous build, or null for none
   */
  static NodeBuilds read(Path root, @Nullable Path previousRoot) throws IOException {
    return new NodeBuilds(
        GatewayProgram.read(root), previousRoot == null ? null : GatewayProgram.read(previousRoot));
  }

  /** Returns the repository directory of the current build. */
  Path root() {
    return current.root();
  }

  /** Returns the build for the next start of a node; each call counts as a start. */
  Build nextBuild(String node) {
    int start = starts.merge(node, 1, Integer::sum);
    int number = Character.getNumericValue(node.charAt(node.length() - 1));
    GatewayProgram other = previous;
    return other != null && (number + start) % 2 == 0
        ? new Build(other, true)
        : new Build(current, false);
  }
}
