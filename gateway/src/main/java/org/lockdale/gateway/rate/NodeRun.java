package org.lockdale.gateway.rate;

/**
 * One run of a node's process. Requests of a former run may still arrive after the next has begun.
 *
 * @param node id of the node
 * @param incarnation identifies the run
 */
public record NodeRun(String node, long incarnation) {}
