package org.lockdale.router.policy;

/**
 * A rule that sends requests to engines. The first route in order that matches a request decides.
 *
 * @param name name
 * @param order lower comes first
 * @param requests selects requests
 * @param engines selects the engines that may serve them
 * @param priority priority of the requests
 */
public record Route(
    String name, int order, Selector requests, Selector engines, Priority priority) {}
