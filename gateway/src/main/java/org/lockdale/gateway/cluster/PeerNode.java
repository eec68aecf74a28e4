package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;

/**
 * A node of the deployment.
 *
 * @param id id of the node
 * @param address address at which it receives datagrams and, over TCP, requests for its copies of
 *     tables
 * @param linkMbps bandwidth of its link, in megabits per second
 */
public record PeerNode(String id, InetSocketAddress address, double linkMbps) {}
