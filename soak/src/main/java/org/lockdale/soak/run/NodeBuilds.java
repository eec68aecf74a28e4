package org.lockdale.soak.run;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Which build of the gateway each life of a node runs. With a former build beside the present one,
 * every second node begins with it, and a node that starts again runs the other one: updates and
 * rollbacks at any moment.
 */
final class NodeBuilds {

  private final GatewayProgram present;
  private final @Nullable GatewayProgram former;
  private final Map<String, Integer> starts = new ConcurrentHashMap<>();

  /**
   * A build that a life of a node runs.
   *
   * @param program how it is run
   * @param isFormer whether it is the former one
   */
  record Build(GatewayProgram program, boolean isFormer) {}

  private NodeBuilds(GatewayProgram present, @Nullable GatewayProgram former) {
    this.present = present;
    this.former = former;
  }

  /**
   * Reads how the builds are run.
   *
   * @param root directory of the repository, with the built gateway
   * @param formerRoot the same of a former build, or null for none
   */
  static NodeBuilds read(Path root, @Nullable Path formerRoot) throws IOException {
    return new NodeBuilds(
        GatewayProgram.read(root), formerRoot == null ? null : GatewayProgram.read(formerRoot));
  }

  /** Returns the directory of the present build. */
  Path root() {
    return present.root();
  }

  /** Returns the build that a node runs from its next start on. */
  Build next(String node) {
    int start = starts.merge(node, 1, Integer::sum);
    int number = Character.getNumericValue(node.charAt(node.length() - 1));
    GatewayProgram other = former;
    return other != null && (number + start) % 2 == 0
        ? new Build(other, true)
        : new Build(present, false);
  }
}
