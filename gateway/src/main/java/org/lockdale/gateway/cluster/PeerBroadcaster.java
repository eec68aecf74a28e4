package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.List;
import org.lockdale.gateway.quarantine.Suspect;
import org.lockdale.gateway.quarantine.SuspectMessages;
import org.lockdale.gateway.quarantine.part.PartMessages;
import org.lockdale.gateway.quarantine.part.PartSuspect;
import org.lockdale.protocol.generated.LeavingNotice;
import org.lockdale.protocol.generated.LifeOverNotice;
import org.lockdale.protocol.generated.PartSuspectReport;
import org.lockdale.protocol.generated.SuspectReport;

/**
 * Broadcasts messages to all other nodes.
 *
 * @param nodes registry of the other nodes
 * @param datagrams sends the messages
 */
public record PeerBroadcaster(NodeRegistry nodes, DatagramExchange datagrams) {

  /** Broadcasts requests that are suspected of crashing backends. */
  public void broadcastSuspects(List<Suspect> suspects) {
    datagrams.send(
        peerAddresses(), new SuspectReport(suspects.stream().map(SuspectMessages::write).toList()));
  }

  /** Broadcasts prompt parts that are suspected of crashing backends. */
  public void broadcastParts(List<PartSuspect> parts) {
    datagrams.sendPartMessage(
        peerAddresses(), new PartSuspectReport(parts.stream().map(PartMessages::write).toList()));
  }

  /** Broadcasts that an incarnation of a backend has ended, given by its text form. */
  public void broadcastIncarnationEnd(String incarnation) {
    datagrams.sendNotice(peerAddresses(), new LifeOverNotice(List.of(incarnation)));
  }

  /** Broadcasts that incarnations of backends are draining, given by their text forms. */
  public void broadcastDraining(List<String> incarnations) {
    datagrams.sendDrainMessage(peerAddresses(), new LeavingNotice(incarnations));
  }

  private List<InetSocketAddress> peerAddresses() {
    return nodes.peers().stream().map(PeerNode::address).toList();
  }
}
