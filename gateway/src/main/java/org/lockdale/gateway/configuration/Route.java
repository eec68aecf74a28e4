package org.lockdale.gateway.configuration;

import java.time.Duration;
import java.util.List;

/**
 * A route, chosen by host and path.
 *
 * @param name name of the route
 * @param host host that the route belongs to
 * @param pathPrefix prefix of the path, which begins and ends with a slash
 * @param kind how its requests may be treated
 * @param pools pools that serve it; at least one
 * @param timeout longest time a request may be held
 * @param latencyObjective time within which an answer should begin
 * @param gapObjective longest pause between two events of a stream that is still in time
 * @param priority rank of its requests, 0 first
 * @param maxAttempts most back ends that may begin to work on one request
 * @param anonymousAllowed whether requests need no key
 * @param resumable whether a stream may be continued at another back end
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
