package org.lockdale.coordination.membership;

import java.net.InetSocketAddress;
import org.lockdale.protocol.generated.PeerMessage;

/**
 * A message that a state machine requests to be sent. Messages may be lost; losses need not be
 * reported.
 *
 * @param destination peer address of the receiver
 * @param message the message to send
 */
public record Outbound(InetSocketAddress destination, PeerMessage message) {}
