package org.lockdale.coordination.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.collection.BoundedMap;
import org.lockdale.protocol.generated.Ack;
import org.lockdale.protocol.generated.IndirectPing;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.MemberUpdate;
import org.lockdale.protocol.generated.PeerMessage;
import org.lockdale.protocol.generated.Ping;

/** Probes members, first directly and then through other members, and relays probes for others. */
final class Prober {

  /** Maximum number of relayed probes that await their acknowledgement. */
  private static final int MAX_RELAYED_PROBES = 256;

  private record RelayedProbe(InetSocketAddress requester, long sequence) {}

  private static final class Probe {
    final String target;
    final long sentAtMillis;
    boolean indirectSent;

    Probe(String target, long sentAtMillis) {
      this.target = target;
      this.sentAtMillis = sentAtMillis;
    }
  }

  private final MembershipSettings settings;
  private final MemberTable table;
  private final MessageComposer composer;
  private final Map<Long, Probe> probes = new LinkedHashMap<>();
  private final Map<Long, RelayedProbe> relayedProbes = new BoundedMap<>(MAX_RELAYED_PROBES);

  Prober(MembershipSettings settings, MemberTable table, MessageComposer composer) {
    this.settings = settings;
    this.table = table;
    this.composer = composer;
  }

  /** Drops all pending probes. */
  void clear() {
    probes.clear();
  }

  void probe(Member target, long nowMillis, List<Outbound> outbound) {
    long sequence = composer.nextSequence();
    probes.put(sequence, new Probe(target.id(), nowMillis));
    List<MemberUpdate> updates = composer.takeUpdates();
    if (target.status() == MemberStatus.SUSPECT) {
      // The suspect can refute the suspicion only if it is informed of it.
      updates.add(target.toUpdate());
    }
    PeerMessage message = composer.compose(new Ping(), sequence, updates);
    outbound.add(new Outbound(target.peerAddress(), message));
  }

  /**
   * Checks the pending probes, and sends indirect ones for those that have reached the probe
   * timeout.
   *
   * @return members whose direct and indirect probes were not acknowledged
   */
  List<Member> checkTimeouts(long nowMillis, List<Outbound> outbound) {
    List<Member> unacknowledged = new ArrayList<>();
    Iterator<Map.Entry<Long, Probe>> iterator = probes.entrySet().iterator();
    while (iterator.hasNext()) {
      Map.Entry<Long, Probe> entry = iterator.next();
      Probe probe = entry.getValue();
      Member target = table.get(probe.target);
      long age = nowMillis - probe.sentAtMillis;
      if (target == null || !target.isReachable()) {
        iterator.remove();
      } else if (age >= settings.probeIntervalMillis()) {
        iterator.remove();
        unacknowledged.add(target);
      } else if (age >= settings.probeTimeoutMillis() && !probe.indirectSent) {
        probe.indirectSent = true;
        sendIndirectProbes(target, entry.getKey(), outbound);
      }
    }
    return unacknowledged;
  }

  private void sendIndirectProbes(Member target, long sequence, List<Outbound> outbound) {
    List<Member> helpers =
        table.sampleAcrossZones(
            settings.indirectProbes(),
            member -> member.isAlive() && !member.id().equals(target.id()));
    for (Member helper : helpers) {
      IndirectPing body = new IndirectPing(target.toUpdate());
      PeerMessage message = composer.compose(body, sequence, List.of());
      outbound.add(new Outbound(helper.peerAddress(), message));
    }
  }

  void relayProbe(
      IndirectPing request, Member requester, long requesterSequence, List<Outbound> outbound) {
    long sequence = composer.nextSequence();
    relayedProbes.put(sequence, new RelayedProbe(requester.peerAddress(), requesterSequence));
    Member target = Member.of(request.getTarget());
    PeerMessage message = composer.compose(new Ping(), sequence, List.of());
    outbound.add(new Outbound(target.peerAddress(), message));
  }

  void onAcknowledgement(Ack ack, long sequence, List<Outbound> outbound) {
    RelayedProbe relay = relayedProbes.remove(sequence);
    if (relay != null) {
      // Returned to the node that requested the probe, since it may not reach the target itself.
      PeerMessage relayed = composer.compose(ack, relay.sequence(), List.of());
      outbound.add(new Outbound(relay.requester(), relayed));
      return;
    }
    Probe probe = probes.get(sequence);
    if (probe != null && probe.target.equals(ack.getSubject())) {
      probes.remove(sequence);
    }
  }
}
