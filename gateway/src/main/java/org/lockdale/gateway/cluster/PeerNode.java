package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;

/**
 * A node of the deployment.
 *
 * @param id id of the node
 * @param address where it takes datagrams, and by TCP calls for its copies of tables
 * @param linkMbps bandwidth of its link, in megabits a second
 */
public record PeerNode(String id, InetSocketAddress address, double linkMbps) {}
