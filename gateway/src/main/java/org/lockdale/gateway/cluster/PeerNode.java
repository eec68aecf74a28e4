package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;

/**
 * Another node of the deployment.
 *
 * @param id id of the node
 * @param address where it takes datagrams
 */
public record PeerNode(String id, InetSocketAddress address) {}
