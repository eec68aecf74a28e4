package org.lockdale.router.operator;

import java.util.List;

/**
 * Status of all nodes, collected by querying each of them.
 *
 * @param highestVersion highest configuration version in force anywhere
 * @param inForceEverywhere whether every node considered reachable responded with that version
 * @param nodes status of the nodes that responded
 * @param silent ids of nodes considered reachable that did not respond
 */
public record ClusterStatus(
    long highestVersion, boolean inForceEverywhere, List<NodeStatus> nodes, List<String> silent) {}
