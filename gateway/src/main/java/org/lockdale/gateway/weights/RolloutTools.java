package org.lockdale.gateway.weights;

import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * What a coordinator works with.
 *
 * @param control calls engines
 * @param announcer tells who places requests which engines move
 * @param waitingTokens prompt tokens at an engine, of the requests of all nodes, whose answers have
 *     not begun
 * @param onReplaced told of an engine in whose place another life of it answers
 */
public record RolloutTools(
    EngineControl control,
    Consumer<EngineMove> announcer,
    ToLongFunction<TrackedBackend> waitingTokens,
    Consumer<TrackedBackend> onReplaced) {}
