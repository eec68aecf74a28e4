package org.lockdale.router.policy;

/**
 * A rule that sends requests to engines. The first route in order that matches a request applies.
 *
 * @param name name
 * @param order position among the routes; lower ones are matched first, equal ones by name
 * @param requests selects requests
 * @param engines selects the engines that may serve them
 * @param priority priority of the requests
 */
public record Route(
    String name, int order, Selector requests, Selector engines, Priority priority) {}
