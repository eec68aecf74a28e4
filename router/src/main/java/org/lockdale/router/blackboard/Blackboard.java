package org.lockdale.router.blackboard;

import java.util.List;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.membership.Member;
import org.lockdale.router.engine.EngineTable;
import org.lockdale.router.policy.PolicySet;

/**
 * What a node believes. The table of writers, readers and ages is in docs/ARCHITECTURE.md.
 *
 * @param configuration resources in force; written by the coordination controller
 * @param policies the same, parsed; written by the coordination controller
 * @param members other nodes; written by the coordination controller
 * @param engines engines with labels and load; written by the engine controller
 * @param phase whether the node starts, serves or stops; written by the node
 */
public record Blackboard(
    Section<ConfigurationState> configuration,
    Section<PolicySet> policies,
    Section<List<Member>> members,
    Section<EngineTable> engines,
    Section<NodePhase> phase) {

  /** Returns a blackboard on which nothing is known yet. */
  public static Blackboard empty() {
    return new Blackboard(
        new Section<>(ConfigurationState.EMPTY),
        new Section<>(PolicySet.EMPTY),
        new Section<>(List.of()),
        new Section<>(EngineTable.EMPTY),
        new Section<>(NodePhase.STARTING));
  }
}
