package org.lockdale.gateway.weights;

import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Operations of a rollout coordinator on engines and other nodes.
 *
 * @param control queries engines and gives them orders
 * @param announcer announces moves of engines to the nodes that place requests
 * @param waitingTokens returns the prompt tokens at an engine, of the requests of all nodes, whose
 *     responses have not started
 * @param onReplaced called with an engine at whose address another incarnation responds
 */
public record RolloutDependencies(
    EngineControl control,
    Consumer<EngineMove> announcer,
    ToLongFunction<TrackedBackend> waitingTokens,
    Consumer<TrackedBackend> onReplaced) {}
