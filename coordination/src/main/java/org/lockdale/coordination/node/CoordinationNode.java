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
 * Exchanges membership and configuration with the other nodes of a cluster. Every message carries
 * the configuration version of its sender. A node that receives a higher version than its own pulls
 * the configuration from the sender, applies it and announces it to a few random members, so a
 * change reaches all nodes within a few rounds, and a lost message delays it only until the next
 * one.
 *
 * <p>A state machine without I/O, not safe for use by several threads.
 */
public final class CoordinationNode {

  /** Number of members to which a node announces a new version as soon as it has applied it. */
  private static final int ANNOUNCEMENT_FANOUT = 4;

  /** Time in milliseconds after which a pull without a reply may be sent again. */
  private static final long PULL_TIMEOUT_MILLIS = 300;

  private final MembershipState membership;
  private final ConfigurationReplica configuration = new ConfigurationReplica();
  private final CoordinationListener listener;
  private long lastPullAtMillis = Long.MIN_VALUE / 2;
  private long highestKnownVersion;

  /**
   * Creates a node that knows no other nodes.
   *
   * @param self this node
   * @param seeds addresses to contact for as long as no reachable member has them
   * @param settings timing of membership
   * @param random source of all random choices
   * @param listener receives changes of members and of the configuration
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

  /** Returns the membership state of this node; to be read on the driving thread only. */
  public MembershipState membership() {
    return membership;
  }

  /** Returns the configuration that this node has applied. */
  public ConfigurationState configuration() {
    return configuration.state();
  }

  /** Returns the highest version received from any node; this node may not have applied it yet. */
  public long highestKnownVersion() {
    return Math.max(highestKnownVersion, configuration.version());
  }

  /** Runs the periodic tasks that are due and returns the messages to send. */
  public List<Outbound> tick(long nowMillis) {
    return membership.tick(nowMillis);
  }

  /** Processes a message and returns the messages to send. */
  public List<Outbound> receive(PeerMessage message, long nowMillis) {
    List<Outbound> outbound = membership.receive(message, nowMillis);
    Member sender = findSender(message);
    if (sender == null) {
      return outbound;
    }
    highestKnownVersion = Math.max(highestKnownVersion, message.getConfigurationVersion());
    Object body = message.getBody();
    if (body instanceof ConfigurationTransfer transfer) {
      lastPullAtMillis = Long.MIN_VALUE / 2;
      outbound.addAll(accept(transfer));
    } else if (body instanceof ConfigurationPull pull) {
      ConfigurationTransfer reply = configuration.transferAfter(pull.getAfterVersion());
      outbound.add(new Outbound(sender.peerAddress(), membership.compose(reply)));
    }
    pullIfBehind(message.getConfigurationVersion(), sender, nowMillis, outbound);
    return outbound;
  }

  private @Nullable Member findSender(PeerMessage message) {
    return membership.find(message.getSender().getId()).orElse(null);
  }

  private void pullIfBehind(
      long senderVersion, Member sender, long nowMillis, List<Outbound> outbound) {
    boolean behind = senderVersion > configuration.version();
    if (!behind || nowMillis - lastPullAtMillis < PULL_TIMEOUT_MILLIS) {
      return;
    }
    lastPullAtMillis = nowMillis;
    ConfigurationPull pull = new ConfigurationPull(configuration.version());
    outbound.add(new Outbound(sender.peerAddress(), membership.compose(pull)));
  }

  /**
   * Applies configuration from a peer or from the table service.
   *
   * @return announcements to send; empty if the version did not increase
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
   * Returns whether this node polls the table service for its zone. The members of a zone that
   * agree on which nodes are alive select the same poller. While they disagree, two of them may
   * poll, which costs an additional read and has no other effect.
   */
  public boolean isConfigurationPoller() {
    Member self = membership.self();
    long zoneKey = Rendezvous.identityOf(self.zone());
    long selfWeight = Rendezvous.weight(zoneKey, Rendezvous.identityOf(self.id()));
    for (Member other : membership.others()) {
      if (!other.isAlive() || !other.zone().equals(self.zone())) {
        continue;
      }
      long weight = Rendezvous.weight(zoneKey, Rendezvous.identityOf(other.id()));
      if (Long.compareUnsigned(weight, selfWeight) > 0) {
        return false;
      }
    }
    return true;
  }

  /** Marks this node as leaving and returns the announcements to send. */
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
