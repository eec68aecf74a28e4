package org.lockdale.coordination.node;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.configuration.ConfigurationReplica;
import org.lockdale.coordination.configuration.ConfigurationState;
import org.lockdale.coordination.membership.Member;
import org.lockdale.coordination.membership.MembershipSettings;
import org.lockdale.coordination.membership.MembershipState;
import org.lockdale.coordination.membership.Outbound;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.protocol.generated.ConfigurationAnnouncement;
import org.lockdale.protocol.generated.ConfigurationPull;
import org.lockdale.protocol.generated.ConfigurationTransfer;
import org.lockdale.protocol.generated.PeerMessage;

/**
 * Everything one node does with its peers: membership, and the spread of configuration on the same
 * messages. Every message tells the version in force at its sender; who hears of a newer one pulls
 * it from there, puts it in force and announces it to a few random members, so a change reaches all
 * nodes in a few rounds and one lost message only delays it until the next.
 *
 * <p>A state machine without I/O, not safe for use by several threads.
 */
public final class CoordinationNode {

  /** Members told at once of a new version by each node that learns it. */
  private static final int ANNOUNCEMENT_FANOUT = 4;

  /** Time until an unanswered pull may be sent again. */
  private static final long PULL_TIMEOUT_MILLIS = 300;

  private final MembershipState membership;
  private final ConfigurationReplica configuration = new ConfigurationReplica();
  private final CoordinationListener listener;
  private long lastPullAt = Long.MIN_VALUE / 2;
  private long highestVersionHeard;

  /**
   * Creates a node that knows no other.
   *
   * @param self this node
   * @param seeds addresses to contact while alone
   * @param settings timing of membership
   * @param random source of all choices
   * @param listener hears what is learnt
   */
  public CoordinationNode(
      Member self,
      List<InetSocketAddress> seeds,
      MembershipSettings settings,
      UniformRandomProvider random,
      CoordinationListener listener) {
    this.listener = listener;
    this.membership = new MembershipState(self, seeds, settings, random, listener::memberChanged);
  }

  /** Returns the membership of this node; to be read on the driving thread. */
  public MembershipState membership() {
    return membership;
  }

  /** Returns the configuration in force at this node. */
  public ConfigurationState configuration() {
    return configuration.state();
  }

  /** Returns the highest version heard of, which this node may still lack. */
  public long highestVersionHeard() {
    return Math.max(highestVersionHeard, configuration.version());
  }

  /** Lets time pass and returns messages to send. */
  public List<Outbound> tick(long nowMillis) {
    return membership.tick(nowMillis);
  }

  /** Takes in a message and returns messages to send. */
  public List<Outbound> receive(PeerMessage message, long nowMillis) {
    List<Outbound> outbound = membership.receive(message, nowMillis);
    Member sender = memberOf(message);
    if (sender == null) {
      return outbound;
    }
    highestVersionHeard = Math.max(highestVersionHeard, message.getConfigurationVersion());
    Object body = message.getBody();
    if (body instanceof ConfigurationTransfer transfer) {
      lastPullAt = Long.MIN_VALUE / 2;
      outbound.addAll(accept(transfer));
    } else if (body instanceof ConfigurationPull pull) {
      ConfigurationTransfer reply = configuration.transferAfter(pull.getAfterVersion());
      outbound.add(new Outbound(sender.peerAddress(), membership.compose(reply)));
    }
    pullIfBehind(message.getConfigurationVersion(), sender, nowMillis, outbound);
    return outbound;
  }

  private @Nullable Member memberOf(PeerMessage message) {
    return membership.find(message.getSender().getId()).orElse(null);
  }

  private void pullIfBehind(
      long senderVersion, Member sender, long nowMillis, List<Outbound> outbound) {
    boolean behind = senderVersion > configuration.version();
    if (!behind || nowMillis - lastPullAt < PULL_TIMEOUT_MILLIS) {
      return;
    }
    lastPullAt = nowMillis;
    ConfigurationPull pull = new ConfigurationPull(configuration.version());
    outbound.add(new Outbound(sender.peerAddress(), membership.compose(pull)));
  }

  /**
   * Takes in configuration from a peer or from the table service.
   *
   * @return announcements to send where the version rose
   */
  public List<Outbound> accept(ConfigurationTransfer transfer) {
    List<Outbound> outbound = new ArrayList<>();
    if (!configuration.apply(transfer)) {
      return outbound;
    }
    membership.setConfigurationVersion(configuration.version());
    listener.configurationChanged(configuration.state());
    for (Member member : membership.randomAlive(ANNOUNCEMENT_FANOUT)) {
      PeerMessage announcement = membership.compose(new ConfigurationAnnouncement());
      outbound.add(new Outbound(member.peerAddress(), announcement));
    }
    return outbound;
  }

  /**
   * Returns whether this node polls the table service for its zone. All members of a zone agree on
   * one poller as far as they agree on who is alive; where they do not, two poll, which costs a
   * read and harms nothing.
   */
  public boolean isConfigurationPoller() {
    Member self = membership.self();
    long zoneKey = Rendezvous.identityOf(self.zone());
    long ownWeight = Rendezvous.weight(zoneKey, Rendezvous.identityOf(self.id()));
    for (Member other : membership.others()) {
      if (!other.isAlive() || !other.zone().equals(self.zone())) {
        continue;
      }
      long weight = Rendezvous.weight(zoneKey, Rendezvous.identityOf(other.id()));
      if (Long.compareUnsigned(weight, ownWeight) > 0) {
        return false;
      }
    }
    return true;
  }

  /** Announces that this node leaves, and returns messages to send. */
  public List<Outbound> leave() {
    membership.leave();
    List<Outbound> outbound = new ArrayList<>();
    for (Member member : membership.randomAlive(ANNOUNCEMENT_FANOUT)) {
      PeerMessage announcement = membership.compose(new ConfigurationAnnouncement());
      outbound.add(new Outbound(member.peerAddress(), announcement));
    }
    return outbound;
  }
}
