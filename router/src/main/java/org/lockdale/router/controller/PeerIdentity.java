package org.lockdale.router.controller;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * Identity of a node towards its peers, and how it finds them.
 *
 * @param nodeId node id
 * @param zone zone
 * @param bindAddress address to bind for node-to-node messages
 * @param operatorPort port of the operators' interface, announced to peers
 * @param seeds addresses to contact while no other node is known
 * @param sharedKey key that authenticates node-to-node messages
 */
public record PeerIdentity(
    String nodeId,
    String zone,
    InetSocketAddress bindAddress,
    int operatorPort,
    List<InetSocketAddress> seeds,
    String sharedKey) {}
