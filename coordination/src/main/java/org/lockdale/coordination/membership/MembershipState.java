package org.lockdale.coordination.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.lockdale.coordination.collection.BoundedMap;
import org.lockdale.protocol.generated.Ack;
import org.lockdale.protocol.generated.IndirectPing;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.MemberUpdate;
import org.lockdale.protocol.generated.PeerMessage;
import org.lockdale.protocol.generated.Ping;
import org.lockdale.protocol.generated.TableContents;
import org.lockdale.protocol.generated.TableDigest;

/**
 * Membership of one node: SWIM probing with suspicion and refutation (Das, Gupta, Motivala 2002),
 * updates that ride on probes, comparison of whole tables now and then, and probes of dead members
 * so that zones which were cut off find each other again.
 *
 * <p>A state machine without I/O, not safe for use by several threads: the owner calls {@link
 * #tick} a few times each probe interval and {@link #receive} for each message, and sends what they
 * return.
 */
public final class MembershipState {

  /** A gap between ticks of more than this many probe timeouts means that this node was paused. */
  private static final int PAUSE_IN_PROBE_TIMEOUTS = 4;

  /** Most probes made for others that may wait for their acknowledgement at once. */
  private static final int MAX_RELAYS = 256;

  private record Relay(InetSocketAddress asker, long pairing) {}

  private final MembershipSettings settings;
  private final MemberTable table;
  private final UniformRandomProvider random;
  private final MembershipListener listener;
  private final List<InetSocketAddress> seeds;
  private final GossipQueue gossip = new GossipQueue();
  private final Map<Long, Probe> probes = new LinkedHashMap<>();
  private final Map<Long, Relay> relays = new BoundedMap<>(MAX_RELAYS);
  private Member self;
  private long configurationVersion;
  private long sequence;
  private long lastTick = Long.MIN_VALUE;
  private long nextProbeAt;
  private long nextSynchronizationAt;
  private long nextReconnectAt;

  /**
   * Creates the state of a node that knows no other.
   *
   * @param self this node; its incarnation must be higher than in any earlier life, for which wall
   *     clock milliseconds at start are good enough
   * @param seeds addresses to contact while alone; may contain this node's own
   * @param settings timing and fan-out
   * @param random source of all choices
   * @param listener hears of changes
   */
  public MembershipState(
      Member self,
      List<InetSocketAddress> seeds,
      MembershipSettings settings,
      UniformRandomProvider random,
      MembershipListener listener) {
    this.self = self;
    this.seeds = List.copyOf(seeds);
    this.settings = settings;
    this.random = random;
    this.listener = listener;
    this.table = new MemberTable(random);
  }

  /** Returns this node as others should see it. */
  public Member self() {
    return self;
  }

  /** Returns the beliefs of all other nodes, dead ones included. */
  public Collection<Member> others() {
    return List.copyOf(table.all());
  }

  /** Returns the belief of another node. */
  public Optional<Member> find(String id) {
    return Optional.ofNullable(table.get(id));
  }

  /** Returns the number of nodes that can be expected to answer, this one included. */
  public int reachableCount() {
    int count = 1;
    for (Member member : table.all()) {
      if (member.isReachable()) {
        count++;
      }
    }
    return count;
  }

  /** Sets the configuration version told in every message from now on. */
  public void setConfigurationVersion(long version) {
    configurationVersion = version;
  }

  /** Announces that this node leaves; it goes on to answer probes. */
  public void leave() {
    self = self.with(MemberStatus.LEAVING, self.incarnation() + 1);
    spread(self);
  }

  /** Returns up to a number of random nodes that are believed alive. */
  public List<Member> randomAlive(int count) {
    return table.sample(count, Member::isAlive);
  }

  /**
   * Returns a message from this node with the next gossip on it.
   *
   * @param body one of the bodies of {@link PeerMessage}
   */
  public PeerMessage compose(Object body) {
    sequence++;
    return compose(body, sequence, gossip.take(settings.maxUpdatesPerMessage()));
  }

  private PeerMessage compose(Object body, long pairing, List<MemberUpdate> updates) {
    return new PeerMessage(self.toUpdate(), pairing, configurationVersion, updates, body);
  }

  /**
   * Lets time pass.
   *
   * @param nowMillis monotonic time
   * @return messages to send
   */
  public List<Outbound> tick(long nowMillis) {
    forgivePause(nowMillis);
    lastTick = nowMillis;
    List<Outbound> outbound = new ArrayList<>();
    checkProbes(nowMillis, outbound);
    expireSuspects(nowMillis);
    forgetDead(nowMillis);
    if (nowMillis >= nextProbeAt) {
      nextProbeAt = nowMillis + settings.probeIntervalMillis();
      table.nextToProbe().ifPresent(member -> probe(member, nowMillis, outbound));
    }
    if (nowMillis >= nextReconnectAt) {
      nextReconnectAt = nowMillis + settings.reconnectMillis();
      reconnect(outbound);
    }
    if (nowMillis >= nextSynchronizationAt) {
      nextSynchronizationAt = nowMillis + jittered(settings.synchronizationMillis());
      synchronize(outbound);
    }
    return outbound;
  }

  /**
   * After a pause of this process every probe looks unanswered and every suspicion looks ripe,
   * though the others had no chance to be heard. Such probes are dropped and suspicions prolonged.
   */
  private void forgivePause(long nowMillis) {
    if (lastTick == Long.MIN_VALUE) {
      return;
    }
    long gap = nowMillis - lastTick;
    if (gap > settings.probeTimeoutMillis() * PAUSE_IN_PROBE_TIMEOUTS) {
      probes.clear();
      table.shiftStatusTimes(gap);
    }
  }

  private long jittered(long millis) {
    return millis / 2 + random.nextLong(millis);
  }

  private void probe(Member target, long nowMillis, List<Outbound> outbound) {
    sequence++;
    probes.put(sequence, new Probe(target.id(), nowMillis));
    List<MemberUpdate> updates = gossip.take(settings.maxUpdatesPerMessage());
    if (target.status() == MemberStatus.SUSPECT) {
      // The suspect must hear of the suspicion to be able to refute it.
      updates.add(target.toUpdate());
    }
    outbound.add(new Outbound(target.peerAddress(), compose(new Ping(), sequence, updates)));
  }

  private void checkProbes(long nowMillis, List<Outbound> outbound) {
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
        suspect(target, nowMillis);
      } else if (age >= settings.probeTimeoutMillis() && !probe.indirectSent) {
        probe.indirectSent = true;
        askOthersToProbe(target, entry.getKey(), outbound);
      }
    }
  }

  private void askOthersToProbe(Member target, long pairing, List<Outbound> outbound) {
    List<Member> helpers =
        table.sample(
            settings.indirectProbes(),
            member -> member.isAlive() && !member.id().equals(target.id()));
    for (Member helper : helpers) {
      IndirectPing body = new IndirectPing(target.toUpdate());
      outbound.add(new Outbound(helper.peerAddress(), compose(body, pairing, List.of())));
    }
  }

  private void suspect(Member target, long nowMillis) {
    if (target.status() != MemberStatus.SUSPECT) {
      accept(target.with(MemberStatus.SUSPECT, target.incarnation()), nowMillis);
    }
  }

  private void expireSuspects(long nowMillis) {
    List<Member> ripe =
        table.inStatusLongerThan(MemberStatus.SUSPECT, settings.suspicionMillis(), nowMillis);
    for (Member member : ripe) {
      accept(member.with(MemberStatus.DEAD, member.incarnation()), nowMillis);
    }
  }

  private void forgetDead(long nowMillis) {
    List<Member> old =
        table.inStatusLongerThan(MemberStatus.DEAD, settings.deadRetentionMillis(), nowMillis);
    for (Member member : old) {
      table.remove(member.id());
    }
  }

  private void reconnect(List<Outbound> outbound) {
    boolean alone = reachableCount() == 1;
    if (alone && !seeds.isEmpty()) {
      InetSocketAddress seed = seeds.get(random.nextInt(seeds.size()));
      outbound.add(new Outbound(seed, tableContents(true)));
    }
    for (Member dead : table.sample(1, member -> !member.isReachable())) {
      // Told of its own death, a member that lives refutes it and is back at once.
      sequence++;
      PeerMessage message = compose(new Ping(), sequence, List.of(dead.toUpdate()));
      outbound.add(new Outbound(dead.peerAddress(), message));
    }
  }

  private void synchronize(List<Outbound> outbound) {
    for (Member member : table.sample(1, Member::isReachable)) {
      TableDigest body = new TableDigest(table.digestWith(self));
      outbound.add(new Outbound(member.peerAddress(), compose(body)));
    }
  }

  private PeerMessage tableContents(boolean replyWanted) {
    List<MemberUpdate> updates = new ArrayList<>();
    for (Member member : table.all()) {
      if (member.isReachable()) {
        updates.add(member.toUpdate());
      }
    }
    sequence++;
    return compose(new TableContents(replyWanted), sequence, updates);
  }

  /**
   * Takes in a message.
   *
   * @param message what arrived; bodies that are no matter of membership are ignored, their
   *     envelope is not
   * @param nowMillis monotonic time
   * @return messages to send
   */
  public List<Outbound> receive(PeerMessage message, long nowMillis) {
    List<Outbound> outbound = new ArrayList<>();
    Member sender = Member.of(message.getSender());
    if (sender.id().equals(self.id())) {
      return outbound;
    }
    boolean wasDead = find(sender.id()).map(member -> !member.isReachable()).orElse(false);
    consider(sender, nowMillis);
    for (MemberUpdate update : message.getUpdates()) {
      consider(Member.of(update), nowMillis);
    }
    answer(message, sender, outbound);
    if (wasDead) {
      // The other side of a healed cut has news of many members, not of this one alone.
      TableDigest body = new TableDigest(table.digestWith(self));
      outbound.add(new Outbound(sender.peerAddress(), compose(body)));
    }
    return outbound;
  }

  private void answer(PeerMessage message, Member sender, List<Outbound> outbound) {
    Object body = message.getBody();
    if (body instanceof Ping) {
      List<MemberUpdate> updates = gossip.take(settings.maxUpdatesPerMessage());
      PeerMessage reply = compose(new Ack(self.id()), message.getSequence(), updates);
      outbound.add(new Outbound(sender.peerAddress(), reply));
    } else if (body instanceof Ack ack) {
      acknowledged(ack, message.getSequence(), outbound);
    } else if (body instanceof IndirectPing request) {
      probeOnBehalf(request, sender, message.getSequence(), outbound);
    } else if (body instanceof TableDigest digest) {
      if (digest.getDigest() != table.digestWith(self)) {
        outbound.add(new Outbound(sender.peerAddress(), tableContents(true)));
      }
    } else if (body instanceof TableContents contents && contents.getReplyWanted()) {
      outbound.add(new Outbound(sender.peerAddress(), tableContents(false)));
    }
  }

  private void probeOnBehalf(
      IndirectPing request, Member asker, long pairing, List<Outbound> outbound) {
    sequence++;
    relays.put(sequence, new Relay(asker.peerAddress(), pairing));
    Member target = Member.of(request.getTarget());
    outbound.add(new Outbound(target.peerAddress(), compose(new Ping(), sequence, List.of())));
  }

  private void acknowledged(Ack ack, long pairing, List<Outbound> outbound) {
    Relay relay = relays.remove(pairing);
    if (relay != null) {
      // The acknowledgement goes back the way the probe came, since the direct way may be cut.
      PeerMessage relayed = compose(ack, relay.pairing(), List.of());
      outbound.add(new Outbound(relay.asker(), relayed));
      return;
    }
    Probe probe = probes.get(pairing);
    if (probe != null && probe.target.equals(ack.getSubject())) {
      probes.remove(pairing);
    }
  }

  private void consider(Member news, long nowMillis) {
    if (news.id().equals(self.id())) {
      refute(news);
      return;
    }
    Member known = table.get(news.id());
    boolean deadStranger = known == null && !news.isReachable();
    if (deadStranger || known != null && !news.supersedes(known)) {
      return;
    }
    accept(news, nowMillis);
  }

  private void accept(Member member, long nowMillis) {
    table.put(member, nowMillis);
    spread(member);
    listener.memberChanged(member);
  }

  /** Any belief of this node that is not its own is answered with a later incarnation. */
  private void refute(Member news) {
    boolean isOlder = news.incarnation() < self.incarnation();
    boolean isOwn = news.incarnation() == self.incarnation() && news.status() == self.status();
    if (isOlder || isOwn) {
      return;
    }
    self = self.with(self.status(), news.incarnation() + 1);
    spread(self);
  }

  private void spread(Member member) {
    int digits = String.valueOf(reachableCount()).length();
    gossip.add(member, settings.transmissionFactor() * digits);
  }
}
