package org.lockdale.gateway.blackboard;

import org.lockdale.coordination.blackboard.Section;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.configuration.GatewayConfiguration;
import org.lockdale.gateway.quarantine.Suspects;
import org.lockdale.gateway.quarantine.part.SuspectParts;
import org.lockdale.gateway.weights.RolloutProgress;
import org.lockdale.gateway.weights.TargetWeights;

/**
 * The current state of a node, shared between its components as a blackboard. Each section has a
 * single writer.
 *
 * @param configuration configuration in force; written by the operator controller
 * @param weights target versions of weights set by operators; written by the operator controller
 * @param backends registered backends; written by the backend controller
 * @param rollout engines that are being moved to other weights; written by the cluster services,
 *     which receive the announcements of the rollout coordinator
 * @param suspects suspect requests, during which backends crashed; written by the quarantine
 * @param suspectParts prompt parts that are suspected of crashing backends; written by the
 *     quarantine
 * @param phase lifecycle phase of the node; written by the node
 */
public record GatewayBlackboard(
    Section<GatewayConfiguration> configuration,
    Section<TargetWeights> weights,
    Section<BackendTable> backends,
    Section<RolloutProgress> rollout,
    Section<Suspects> suspects,
    Section<SuspectParts> suspectParts,
    Section<GatewayPhase> phase) {

  /** Returns a blackboard with the initial state. */
  public static GatewayBlackboard empty() {
    return new GatewayBlackboard(
        new Section<>(GatewayConfiguration.NONE),
        new Section<>(TargetWeights.NONE),
        new Section<>(BackendTable.EMPTY),
        new Section<>(RolloutProgress.NONE),
        new Section<>(Suspects.NONE),
        new Section<>(SuspectParts.NONE),
        new Section<>(GatewayPhase.STARTING));
  }
}
