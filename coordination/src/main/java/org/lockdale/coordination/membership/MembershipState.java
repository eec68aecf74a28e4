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

  /** Members told to one that joins; it learns the others by comparing tables. */
  private static final int JOIN_SAMPLE = 12;

  private final MembershipSettings settings;
  private final MemberTable table;
  private final UniformRandomProvider random;
  private final MembershipListener listener;
  private final List<InetSocketAddress> seeds;
  private final MessageComposer composer;
  private final Prober prober;
  private long lastTick = Long.MIN_VALUE;
  private long nextProbeAt;
  private long nextSynchronizationAt;
  private long lastWholeTableAt = Long.MIN_VALUE / 2;
  private long nextGossipAt;
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
    this.composer = new MessageComposer(self, settings);
    this.seeds = List.copyOf(seeds);
    this.settings = settings;
    this.random = random;
    this.listener = listener;
    this.table = new MemberTable(random);
    this.prober = new Prober(settings, table, composer);
  }

  /** Returns this node as others should see it. */
  public Member self() {
    return composer.self();
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
    composer.setConfigurationVersion(version);
  }

  /** Announces that this node leaves; it goes on to answer probes. */
  public void leave() {
    become(MemberStatus.LEAVING, self().incarnation() + 1);
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
    return composer.compose(body);
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
    prober.check(nowMillis, outbound).forEach(member -> suspect(member, nowMillis));
    expireSuspects(nowMillis);
    forgetDead(nowMillis);
    if (nowMillis >= nextProbeAt) {
      nextProbeAt = nowMillis + settings.probeIntervalMillis();
      table.nextToProbe().ifPresent(member -> prober.probe(member, nowMillis, outbound));
    }
    if (nowMillis >= nextGossipAt) {
      nextGossipAt = nowMillis + settings.gossipIntervalMillis();
      gossip(outbound);
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
      prober.clear();
      table.shiftStatusTimes(gap);
    }
  }

  private long jittered(long millis) {
    return millis / 2 + random.nextLong(millis);
  }

  /** Sends news on faster than probes would carry it, and nothing while there is none. */
  private void gossip(List<Outbound> outbound) {
    if (!composer.beginRound()) {
      return;
    }
    for (Member member : table.sample(settings.gossipFanout(), Member::isReachable)) {
      outbound.add(new Outbound(member.peerAddress(), composer.compose(new Gossip())));
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
    List<InetSocketAddress> strangers = seedsNotKnown();
    if (!strangers.isEmpty()) {
      InetSocketAddress seed = strangers.get(random.nextInt(strangers.size()));
      outbound.add(new Outbound(seed, composer.compose(new Join())));
    }
    for (Member dead : table.sample(1, member -> !member.isReachable())) {
      tellOfDeath(dead, outbound);
    }
  }

  /** Told of its own death in a probe, a member that lives refutes it in its answer. */
  private void tellOfDeath(Member dead, List<Outbound> outbound) {
    PeerMessage message =
        composer.compose(new Ping(), composer.nextSequence(), List.of(dead.toUpdate()));
    outbound.add(new Outbound(dead.peerAddress(), message));
  }

  /**
   * Returns seeds that no reachable member stands at. They are contacted also by a node that knows
   * others: nodes that start together can form islands, and only the seeds join them.
   */
  private List<InetSocketAddress> seedsNotKnown() {
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

  private PeerMessage wholeTable() {
    return composer.compose(
        new TableContents(true), composer.nextSequence(), updatesOf(table.reachable()));
  }

  private static List<MemberUpdate> updatesOf(List<Member> members) {
    return members.stream().map(Member::toUpdate).collect(Collectors.toList());
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
    if (sender.id().equals(self().id())) {
      return outbound;
    }
    boolean wasDead = isBelievedDead(sender);
    consider(sender, nowMillis);
    int learnt = 0;
    for (MemberUpdate update : message.getUpdates()) {
      learnt += consider(Member.of(update), nowMillis) ? 1 : 0;
    }
    answer(message, sender, nowMillis, outbound);
    if (wasDead) {
      greetReturned(sender, outbound);
    }
    if (wasDead || message.getBody() instanceof TableContents && learnt > 0) {
      // Who learnt much at once is likely to lack more; the next comparison comes soon.
      nextSynchronizationAt =
          Math.min(
              nextSynchronizationAt, nowMillis + jittered(settings.wholeTableIntervalMillis()));
    }
    return outbound;
  }

  private boolean isBelievedDead(Member member) {
    return find(member.id()).map(belief -> !belief.isReachable()).orElse(false);
  }

  /**
   * A member that was taken for dead and speaks again either has a new incarnation already, and
   * then has news of many members, or must be told of its death to take one. It is told in a probe,
   * whose answer shows the new incarnation, so the exchange ends there on both sides.
   */
  private void greetReturned(Member sender, List<Outbound> outbound) {
    if (isBelievedDead(sender)) {
      tellOfDeath(table.get(sender.id()), outbound);
    }
  }

  private void answer(PeerMessage message, Member sender, long nowMillis, List<Outbound> outbound) {
    Object body = message.getBody();
    if (body instanceof Ping) {
      List<MemberUpdate> updates = composer.takeNews();
      PeerMessage reply = composer.compose(new Ack(self().id()), message.getSequence(), updates);
      outbound.add(new Outbound(sender.peerAddress(), reply));
    } else if (body instanceof Ack ack) {
      prober.acknowledged(ack, message.getSequence(), outbound);
    } else if (body instanceof IndirectPing request) {
      prober.probeOnBehalf(request, sender, message.getSequence(), outbound);
    } else if (body instanceof Join) {
      List<Member> some = table.sample(JOIN_SAMPLE, Member::isReachable);
      PeerMessage reply =
          composer.compose(new TableContents(false), composer.nextSequence(), updatesOf(some));
      outbound.add(new Outbound(sender.peerAddress(), reply));
    } else if (body instanceof TableDigest digest) {
      answerDigest(digest, sender, nowMillis, outbound);
    } else if (body instanceof TableContents contents) {
      answerContents(contents, message.getUpdates(), sender, outbound);
    }
  }

  /**
   * Answers a differing digest with the whole table. Tables are large, so a node sends at most one
   * in an interval: after a cut has healed or a herd has restarted, everyone differs from everyone,
   * and who is not answered asks another node a little later.
   */
  private void answerDigest(
      TableDigest digest, Member sender, long nowMillis, List<Outbound> outbound) {
    boolean differs = digest.getDigest() != table.digestWith(self());
    if (differs && nowMillis - lastWholeTableAt >= settings.wholeTableIntervalMillis()) {
      lastWholeTableAt = nowMillis;
      outbound.add(new Outbound(sender.peerAddress(), wholeTable()));
    }
  }

  private void answerContents(
      TableContents contents, List<MemberUpdate> updates, Member sender, List<Outbound> outbound) {
    if (!contents.getReplyWanted()) {
      return;
    }
    List<Member> better = table.reachable();
    Map<String, Long> known = new HashMap<>();
    updates.forEach(update -> known.put(update.getId(), update.getIncarnation()));
    better.removeIf(
        member -> known.getOrDefault(member.id(), Long.MIN_VALUE) >= member.incarnation());
    better.removeIf(member -> member.id().equals(sender.id()));
    if (!better.isEmpty()) {
      PeerMessage reply =
          composer.compose(new TableContents(false), composer.nextSequence(), updatesOf(better));
      outbound.add(new Outbound(sender.peerAddress(), reply));
    }
  }

  /** Weighs news of a member and returns whether they were new. */
  private boolean consider(Member news, long nowMillis) {
    if (news.id().equals(self().id())) {
      refute(news);
      return false;
    }
    Member known = table.get(news.id());
    boolean deadStranger = known == null && !news.isReachable();
    if (deadStranger || known != null && !news.supersedes(known)) {
      return false;
    }
    accept(news, nowMillis);
    return true;
  }

  private void accept(Member member, long nowMillis) {
    table.put(member, nowMillis);
    composer.spread(member, reachableCount());
    listener.memberChanged(member);
  }

  /** Any belief of this node that is not its own is answered with a later incarnation. */
  private void refute(Member news) {
    boolean isOlder = news.incarnation() < self().incarnation();
    boolean isOwn = news.incarnation() == self().incarnation() && news.status() == self().status();
    if (!isOlder && !isOwn) {
      become(self().status(), news.incarnation() + 1);
    }
  }

  private void become(MemberStatus status, long incarnation) {
    composer.setSelf(self().with(status, incarnation));
    composer.spread(self(), reachableCount());
  }
}
