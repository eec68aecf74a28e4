package org.lockdale.coordination.membership;

import java.net.InetSocketAddress;
import org.lockdale.protocol.generated.PeerMessage;

/**
 * A message that a state machine wants to be sent. Loss is expected and needs no report.
 *
 * @param destination peer address
 * @param message what to send
 */
public record Outbound(InetSocketAddress destination, PeerMessage message) {}
