package org.lockdale.router.operator;

import java.util.List;
import java.util.Map;

/**
 * Routing of a hypothetical request by the current state of the node.
 *
 * @param configurationVersion version in force
 * @param labels labels of the request
 * @param routes routes in order, with whether each one matches the labels
 * @param route name of the first matching route, or an empty string
 * @param priority priority, or an empty string
 * @param engines engines, with the reason why each one can't serve the request
 * @param chosenEngine engine that would serve the request, or an empty string
 * @param reason why that engine, or none, was chosen
 */
public record Explanation(
    long configurationVersion,
    Map<String, String> labels,
    List<RouteLine> routes,
    String route,
    String priority,
    List<EngineLine> engines,
    String chosenEngine,
    String reason) {

  /** A route with whether it matches. */
  public record RouteLine(String route, int order, boolean matches) {}

  /** An engine with the reason why it can't serve the request, or an empty string if it can. */
  public record EngineLine(String engine, String zone, String obstacle) {}
}
