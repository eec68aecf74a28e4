package org.lockdale.router.operator;

import java.util.List;

/**
 * Status of all nodes, asked one by one at the time of the question.
 *
 * @param highestVersion highest configuration version in force anywhere
 * @param inForceEverywhere whether every node that is believed to be up has answered with it
 * @param nodes nodes that answered
 * @param silent ids of nodes believed to be up that did not answer
 */
public record ClusterStatus(
    long highestVersion, boolean inForceEverywhere, List<NodeStatus> nodes, List<String> silent) {}
