package org.lockdale.gateway.placement;

import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * State of an engine at the time of a decision.
 *
 * @param index position among the engines of the decision
 * @param engine the engine
 * @param work work of all nodes there
 * @param reservedTokens tokens of its memory that open requests occupy
 * @param speed present speed relative to the median of the pool
 * @param speedStep usual speed in steps, from which its rank and home prompts follow
 * @param tokensPerMilli prompt tokens that it computes per millisecond at present
 */
record EngineState(
    int index,
    TrackedBackend engine,
    BackendWork work,
    long reservedTokens,
    double speed,
    double speedStep,
    double tokensPerMilli) {}
