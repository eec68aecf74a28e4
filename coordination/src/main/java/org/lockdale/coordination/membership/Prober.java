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

/** Probes members directly, then through others, and relays the probes of others. */
final class Prober {

  /** Most probes made for others that may wait for their acknowledgement at once. */
  private static final int MAX_RELAYS = 256;

  private record Relay(InetSocketAddress asker, long pairing) {}

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
  private final Map<Long, Relay> relays = new BoundedMap<>(MAX_RELAYS);

  Prober(MembershipSettings settings, MemberTable table, MessageComposer composer) {
    this.settings = settings;
    this.table = table;
    this.composer = composer;
  }

  /** Forgets all probes that wait. */
  void clear() {
    probes.clear();
  }

  void probe(Member target, long nowMillis, List<Outbound> outbound) {
    long sequence = composer.nextSequence();
    probes.put(sequence, new Probe(target.id(), nowMillis));
    List<MemberUpdate> updates = composer.takeNews();
    if (target.status() == MemberStatus.SUSPECT) {
      // The suspect must hear of the suspicion to be able to refute it.
      updates.add(target.toUpdate());
    }
    PeerMessage message = composer.compose(new Ping(), sequence, updates);
    outbound.add(new Outbound(target.peerAddress(), message));
  }

  /**
   * Goes through the probes that wait; those over their first timeout are helped by others.
   *
   * @return members whose probe was not answered in any way
   */
  List<Member> check(long nowMillis, List<Outbound> outbound) {
    List<Member> unanswered = new ArrayList<>();
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
        unanswered.add(target);
      } else if (age >= settings.probeTimeoutMillis() && !probe.indirectSent) {
        probe.indirectSent = true;
        askOthers(target, entry.getKey(), outbound);
      }
    }
    return unanswered;
  }

  private void askOthers(Member target, long pairing, List<Outbound> outbound) {
    List<Member> helpers =
        table.sampleAcrossZones(
            settings.indirectProbes(),
            member -> member.isAlive() && !member.id().equals(target.id()));
    for (Member helper : helpers) {
      IndirectPing body = new IndirectPing(target.toUpdate());
      PeerMessage message = composer.compose(body, pairing, List.of());
      outbound.add(new Outbound(helper.peerAddress(), message));
    }
  }

  void probeOnBehalf(IndirectPing request, Member asker, long pairing, List<Outbound> outbound) {
    long sequence = composer.nextSequence();
    relays.put(sequence, new Relay(asker.peerAddress(), pairing));
    Member target = Member.of(request.getTarget());
    PeerMessage message = composer.compose(new Ping(), sequence, List.of());
    outbound.add(new Outbound(target.peerAddress(), message));
  }

  void acknowledged(Ack ack, long pairing, List<Outbound> outbound) {
    Relay relay = relays.remove(pairing);
    if (relay != null) {
      // The acknowledgement goes back the way the probe came, since the direct way may be cut.
      PeerMessage relayed = composer.compose(ack, relay.pairing(), List.of());
      outbound.add(new Outbound(relay.asker(), relayed));
      return;
    }
    Probe probe = probes.get(pairing);
    if (probe != null && probe.target.equals(ack.getSubject())) {
      probes.remove(pairing);
    }
  }
}
