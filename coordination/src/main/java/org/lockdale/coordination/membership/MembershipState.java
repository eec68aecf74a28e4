package org.lockdale.coordination.membership;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.lockdale.protocol.generated.Ack;
import org.lockdale.protocol.generated.Gossip;
import org.lockdale.protocol.generated.IndirectPing;
import org.lockdale.protocol.generated.Join;
import org.lockdale.protocol.generated.MemberStatus;
import org.lockdale.protocol.generated.MemberUpdate;
import org.lockdale.protocol.generated.PeerMessage;
import org.lockdale.protocol.generated.Ping;
import org.lockdale.protocol.generated.TableContents;
import org.lockdale.protocol.generated.TableDigest;

/**
 * The membership protocol at one node: SWIM probing with suspicion and refutation (Das, Gupta,
 * Motivala 2002), updates piggybacked on messages, periodic comparisons of the full tables, and
 * probes of dead members, through which zones rediscover each other after a network partition.
 *
 * <p>A state machine without I/O, not safe for use by several threads: the owner calls {@link
 * #tick} a few times each probe interval and {@link #receive} for each message, and sends what they
 * return.
 */
public final class MembershipState {

  /** Number of probe timeouts between two ticks above which this node counts as paused. */
  private static final int PAUSE_THRESHOLD_PROBE_TIMEOUTS = 4;

  /** Number of members sent to a joining node, which learns of the others by table comparison. */
  private static final int JOIN_SAMPLE_SIZE = 12;

  private final MembershipSettings settings;
  private final MemberTable table;
  private final UniformRandomProvider random;
  private final MembershipListener listener;
  private final List<InetSocketAddress> seeds;
  private final MessageComposer composer;
  private final Prober prober;
  private long lastTickMillis = Long.MIN_VALUE;
  private long nextProbeAtMillis;
  private long nextSyncAtMillis;
  private long lastFullTableAtMillis = Long.MIN_VALUE / 2;
  private long nextGossipAtMillis;
  private long nextReconnectAtMillis;

  /**
   * Creates the state of a node that knows no other nodes.
   *
   * @param self this node; its incarnation must be higher than before a restart, for which the wall
   *     clock in milliseconds at the start is sufficient
   * @param seeds addresses to contact for as long as no reachable member has them; may include the
   *     address of this node
   * @param settings timing and fan-out
   * @param random source of all random choices
   * @param listener receives changes of members
   */
  public MembershipState(
      Member self,
      List<InetSocketAddress> seeds,
      MembershipSettings settings,
      UniformRandomProvider random,
      MembershipListener listener) {
    this.composer = new MessageComposer(self, settings);
    this.seeds = List.copyOf(seeds);
    this.settings = settings;
    this.random = random;
    this.listener = listener;
    this.table = new MemberTable(random);
    this.prober = new Prober(settings, table, composer);
  }

  /** Returns this node as it is announced to others. */
  public Member self() {
    return composer.self();
  }

  /** Returns all other known nodes, including dead ones. */
  public Collection<Member> others() {
    return List.copyOf(table.all());
  }

  /** Returns another node, or empty if it is unknown. */
  public Optional<Member> find(String id) {
    return Optional.ofNullable(table.get(id));
  }

  /** Returns the number of nodes that are not dead, including this one. */
  public int reachableCount() {
    int count = 1;
    for (Member member : table.all()) {
      if (member.isReachable()) {
        count++;
      }
    }
    return count;
  }

  /** Sets the configuration version that is sent with every message from now on. */
  public void setConfigurationVersion(long version) {
    composer.setConfigurationVersion(version);
  }

  /** Marks this node as leaving and queues an update for it; it continues to reply to probes. */
  public void leave() {
    updateSelf(MemberStatus.LEAVING, self().incarnation() + 1);
  }

  /** Returns up to {@code count} distinct random nodes that are known as alive. */
  public List<Member> randomAlive(int count) {
    return table.sample(count, Member::isAlive);
  }

  /**
   * Returns a message from this node with the next queued updates.
   *
   * @param body one of the bodies of {@link PeerMessage}
   */
  public PeerMessage compose(Object body) {
    return composer.compose(body);
  }

  /**
   * Runs the periodic tasks that are due.
   *
   * @param nowMillis monotonic time
   * @return messages to send
   */
  public List<Outbound> tick(long nowMillis) {
    compensateForPause(nowMillis);
    lastTickMillis = nowMillis;
    List<Outbound> outbound = new ArrayList<>();
    prober.checkTimeouts(nowMillis, outbound).forEach(member -> suspect(member, nowMillis));
    expireSuspects(nowMillis);
    removeExpiredDead(nowMillis);
    if (nowMillis >= nextProbeAtMillis) {
      nextProbeAtMillis = nowMillis + settings.probeIntervalMillis();
      table.nextToProbe().ifPresent(member -> prober.probe(member, nowMillis, outbound));
    }
    if (nowMillis >= nextGossipAtMillis) {
      nextGossipAtMillis = nowMillis + settings.gossipIntervalMillis();
      gossip(outbound);
    }
    if (nowMillis >= nextReconnectAtMillis) {
      nextReconnectAtMillis = nowMillis + settings.reconnectMillis();
      reconnect(outbound);
    }
    if (nowMillis >= nextSyncAtMillis) {
      nextSyncAtMillis = nowMillis + jittered(settings.synchronizationMillis());
      synchronize(outbound);
    }
    return outbound;
  }

  /**
   * Drops all pending probes and prolongs all suspicions if this process was paused. Otherwise all
   * of them would seem to have timed out, although replies could not be received during the pause.
   */
  private void compensateForPause(long nowMillis) {
    if (lastTickMillis == Long.MIN_VALUE) {
      return;
    }
    long gap = nowMillis - lastTickMillis;
    if (gap > settings.probeTimeoutMillis() * PAUSE_THRESHOLD_PROBE_TIMEOUTS) {
      prober.clear();
      table.shiftStatusTimes(gap);
    }
  }

  private long jittered(long millis) {
    return millis / 2 + random.nextLong(millis);
  }

  /** Disseminates queued updates and new configuration versions faster than probes alone would. */
  private void gossip(List<Outbound> outbound) {
    if (!composer.startRound()) {
      return;
    }
    for (Member member : table.sample(settings.gossipFanout(), Member::isReachable)) {
      outbound.add(new Outbound(member.peerAddress(), composer.compose(new Gossip())));
    }
  }

  private void suspect(Member target, long nowMillis) {
    if (target.status() != MemberStatus.SUSPECT) {
      update(target.withStatus(MemberStatus.SUSPECT, target.incarnation()), nowMillis);
    }
  }

  private void expireSuspects(long nowMillis) {
    List<Member> expired =
        table.withStatusForAtLeast(MemberStatus.SUSPECT, settings.suspicionMillis(), nowMillis);
    for (Member member : expired) {
      update(member.withStatus(MemberStatus.DEAD, member.incarnation()), nowMillis);
    }
  }

  private void removeExpiredDead(long nowMillis) {
    List<Member> expired =
        table.withStatusForAtLeast(MemberStatus.DEAD, settings.deadRetentionMillis(), nowMillis);
    for (Member member : expired) {
      table.remove(member.id());
    }
  }

  private void reconnect(List<Outbound> outbound) {
    List<InetSocketAddress> unknownSeeds = unknownSeeds();
    if (!unknownSeeds.isEmpty()) {
      InetSocketAddress seed = unknownSeeds.get(random.nextInt(unknownSeeds.size()));
      outbound.add(new Outbound(seed, composer.compose(new Join())));
    }
    for (Member dead : table.sample(1, member -> !member.isReachable())) {
      probeDeadMember(dead, outbound);
    }
  }

  /** Probes a member with an update of its own death, which it refutes if it is running. */
  private void probeDeadMember(Member dead, List<Outbound> outbound) {
    PeerMessage message =
        composer.compose(new Ping(), composer.nextSequence(), List.of(dead.toUpdate()));
    outbound.add(new Outbound(dead.peerAddress(), message));
  }

  /**
   * Returns the seeds whose address belongs to no reachable member. A node contacts them even if it
   * knows other nodes: nodes that start at the same time can form separate groups, which only the
   * seeds connect.
   */
  private List<InetSocketAddress> unknownSeeds() {
    List<InetSocketAddress> unknown = new ArrayList<>(seeds);
    unknown.remove(self().peerAddress());
    for (Member member : table.all()) {
      if (member.isReachable()) {
        unknown.remove(member.peerAddress());
      }
    }
    return unknown;
  }

  private void synchronize(List<Outbound> outbound) {
    for (Member member : table.sample(1, Member::isReachable)) {
      TableDigest body = new TableDigest(table.digestWith(self()));
      outbound.add(new Outbound(member.peerAddress(), composer.compose(body)));
    }
  }

  private PeerMessage fullTable() {
    return composer.compose(
        new TableContents(true), composer.nextSequence(), updatesOf(table.reachable()));
  }

  private static List<MemberUpdate> updatesOf(List<Member> members) {
    return members.stream().map(Member::toUpdate).collect(Collectors.toList());
  }

  /**
   * Processes a message.
   *
   * @param message the received message; a body that does not concern membership is ignored, but
   *     the sender and the updates of the message are processed
   * @param nowMillis monotonic time
   * @return messages to send
   */
  public List<Outbound> receive(PeerMessage message, long nowMillis) {
    List<Outbound> outbound = new ArrayList<>();
    Member sender = Member.of(message.getSender());
    if (sender.id().equals(self().id())) {
      return outbound;
    }
    boolean wasDead = isKnownDead(sender);
    merge(sender, nowMillis);
    int applied = 0;
    for (MemberUpdate update : message.getUpdates()) {
      applied += merge(Member.of(update), nowMillis) ? 1 : 0;
    }
    reply(message, sender, nowMillis, outbound);
    if (wasDead) {
      probeIfStillDead(sender, outbound);
    }
    if (wasDead || message.getBody() instanceof TableContents && applied > 0) {
      // A node that applied updates from a table, or was contacted by a member that it knew as
      // dead, probably lacks more updates, so it compares tables soon.
      nextSyncAtMillis =
          Math.min(nextSyncAtMillis, nowMillis + jittered(settings.fullTableIntervalMillis()));
    }
    return outbound;
  }

  private boolean isKnownDead(Member member) {
    return find(member.id()).map(known -> !known.isReachable()).orElse(false);
  }

  /**
   * Handles a message of a member that was known as dead. If the message had a new incarnation, the
   * member is no longer dead here. Otherwise the member must learn of its death to adopt a new
   * incarnation. A probe informs it, and the acknowledgement carries the new incarnation, which
   * ends the exchange on both sides.
   */
  private void probeIfStillDead(Member sender, List<Outbound> outbound) {
    if (isKnownDead(sender)) {
      probeDeadMember(table.get(sender.id()), outbound);
    }
  }

  private void reply(PeerMessage message, Member sender, long nowMillis, List<Outbound> outbound) {
    Object body = message.getBody();
    if (body instanceof Ping) {
      List<MemberUpdate> updates = composer.takeUpdates();
      PeerMessage reply = composer.compose(new Ack(self().id()), message.getSequence(), updates);
      outbound.add(new Outbound(sender.peerAddress(), reply));
    } else if (body instanceof Ack ack) {
      prober.onAcknowledgement(ack, message.getSequence(), outbound);
    } else if (body instanceof IndirectPing request) {
      prober.relayProbe(request, sender, message.getSequence(), outbound);
    } else if (body instanceof Join) {
      List<Member> some = table.sample(JOIN_SAMPLE_SIZE, Member::isReachable);
      PeerMessage reply =
          composer.compose(new TableContents(false), composer.nextSequence(), updatesOf(some));
      outbound.add(new Outbound(sender.peerAddress(), reply));
    } else if (body instanceof TableDigest digest) {
      replyToDigest(digest, sender, nowMillis, outbound);
    } else if (body instanceof TableContents contents) {
      replyToContents(contents, message.getUpdates(), sender, outbound);
    }
  }

  /**
   * Replies to a differing digest with the full table. Tables are large, so a node sends at most
   * one per interval: after a network partition or a simultaneous restart of many nodes, the tables
   * of all nodes differ. A node that receives no reply sends its digest to another node later.
   */
  private void replyToDigest(
      TableDigest digest, Member sender, long nowMillis, List<Outbound> outbound) {
    boolean differs = digest.getDigest() != table.digestWith(self());
    if (differs && nowMillis - lastFullTableAtMillis >= settings.fullTableIntervalMillis()) {
      lastFullTableAtMillis = nowMillis;
      outbound.add(new Outbound(sender.peerAddress(), fullTable()));
    }
  }

  private void replyToContents(
      TableContents contents, List<MemberUpdate> updates, Member sender, List<Outbound> outbound) {
    if (!contents.getReplyWanted()) {
      return;
    }
    List<Member> newer = table.reachable();
    Map<String, Long> known = new HashMap<>();
    updates.forEach(update -> known.put(update.getId(), update.getIncarnation()));
    newer.removeIf(
        member -> known.getOrDefault(member.id(), Long.MIN_VALUE) >= member.incarnation());
    newer.removeIf(member -> member.id().equals(sender.id()));
    if (!newer.isEmpty()) {
      PeerMessage reply =
          composer.compose(new TableContents(false), composer.nextSequence(), updatesOf(newer));
      outbound.add(new Outbound(sender.peerAddress(), reply));
    }
  }

  /** Applies a received member unless it is outdated, and returns whether it was applied. */
  private boolean merge(Member received, long nowMillis) {
    if (received.id().equals(self().id())) {
      refute(received);
      return false;
    }
    Member known = table.get(received.id());
    boolean unknownDead = known == null && !received.isReachable();
    if (unknownDead || known != null && !received.supersedes(known)) {
      return false;
    }
    update(received, nowMillis);
    return true;
  }

  private void update(Member member, long nowMillis) {
    table.put(member, nowMillis);
    composer.enqueue(member, reachableCount());
    listener.memberChanged(member);
  }

  /** Adopts a later incarnation unless the received state of this node is outdated or current. */
  private void refute(Member state) {
    boolean isOlder = state.incarnation() < self().incarnation();
    boolean same = state.incarnation() == self().incarnation() && state.status() == self().status();
    if (!isOlder && !same) {
      updateSelf(self().status(), state.incarnation() + 1);
    }
  }

  private void updateSelf(MemberStatus status, long incarnation) {
    composer.setSelf(self().withStatus(status, incarnation));
    composer.enqueue(self(), reachableCount());
  }
}
