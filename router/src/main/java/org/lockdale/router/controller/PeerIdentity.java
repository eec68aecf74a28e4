package org.lockdale.router.controller;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Who a node is to its peers and how it finds them.
 *
 * @param nodeId node id
 * @param zone zone
 * @param bindAddress address of node-to-node messages
 * @param operatorPort port of the operators' interface, told to peers
 * @param seeds addresses to contact while alone
 * @param sharedKey authenticates messages
 */
public record PeerIdentity(
    String nodeId,
    String zone,
    InetSocketAddress bindAddress,
    int operatorPort,
    List<InetSocketAddress> seeds,
    String sharedKey) {}
