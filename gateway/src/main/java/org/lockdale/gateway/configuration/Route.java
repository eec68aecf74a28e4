package org.lockdale.gateway.configuration;

import java.time.Duration;
import java.util.List;

/**
 * A route, selected by host and path.
 *
 * @param name name of the route
 * @param host host of the route
 * @param pathPrefix prefix of the path, which starts and ends with a slash
 * @param kind whether its requests are streamed and may run more than once
 * @param pools pools that serve it; at least one
 * @param timeout maximum duration of a request, including its response
 * @param latencyObjective time within which a response should start
 * @param gapObjective longest time between two events of a stream that still meets the objective
 * @param priority priority of its requests, 0 is the most urgent
 * @param maxAttempts maximum number of backends that may start to run a request
 * @param anonymousAllowed whether requests need no key
 * @param resumable whether a stream may be continued at another backend
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    List<WeightedPool> pools,
    Duration timeout,
    Duration latencyObjective,
    Duration gapObjective,
    int priority,
    int maxAttempts,
    boolean anonymousAllowed,
    boolean resumable) {

  /** Returns whether a request of this route may run more than once. */
  public boolean isRepeatable() {
    return kind == RouteKind.IDEMPOTENT || kind == RouteKind.STREAM && resumable;
  }
}
