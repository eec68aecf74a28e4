package org.lockdale.router.blackboard;

import java.util.List;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.membership.Member;
import org.lockdale.router.engine.EngineTable;
import org.lockdale.router.policy.PolicySet;

/**
 * The state of the system as known to a node, in sections that are each written by one component.
 * docs/ARCHITECTURE.md lists their writers, readers and ages.
 *
 * @param configuration current configuration resources; written by the coordination controller
 * @param policies policies built from the configuration; written by the coordination controller
 * @param members other nodes; written by the coordination controller
 * @param engines engines with labels and load; written by the engine controller
 * @param phase phase of the node; written by the node
 */
public record Blackboard(
    Section<ConfigurationState> configuration,
    Section<PolicySet> policies,
    Section<List<Member>> members,
    Section<EngineTable> engines,
    Section<NodePhase> phase) {

  /** Returns a blackboard with empty sections, in phase {@link NodePhase#STARTING}. */
  public static Blackboard empty() {
    return new Blackboard(
        new Section<>(ConfigurationState.EMPTY),
        new Section<>(PolicySet.EMPTY),
        new Section<>(List.of()),
        new Section<>(EngineTable.EMPTY),
        new Section<>(NodePhase.STARTING));
  }
}
