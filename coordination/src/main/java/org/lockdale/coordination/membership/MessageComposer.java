package org.lockdale.coordination.membership;

import java.util.List;
import org.lockdale.protocol.generated.MemberUpdate;
import org.lockdale.protocol.generated.PeerMessage;

/**
 * Composes the messages of one node, which carry its own state, its configuration version and
 * queued member updates.
 */
final class MessageComposer {

  /** Number of gossip rounds that are sent for a new configuration version. */
  private static final int VERSION_GOSSIP_ROUNDS = 6;

  private final MembershipSettings settings;
  private final GossipQueue gossip = new GossipQueue();
  private Member self;
  private long configurationVersion;
  private int versionRoundsLeft;
  private long sequence;

  MessageComposer(Member self, MembershipSettings settings) {
    this.self = self;
    this.settings = settings;
  }

  Member self() {
    return self;
  }

  void setSelf(Member newSelf) {
    self = newSelf;
  }

  void setConfigurationVersion(long version) {
    configurationVersion = version;
    versionRoundsLeft = VERSION_GOSSIP_ROUNDS;
  }

  /** Queues an update of a member, which is sent more often the more members there are. */
  void enqueue(Member member, int reachableMembers) {
    int digits = String.valueOf(reachableMembers).length();
    gossip.add(member, settings.transmissionFactor() * digits);
  }

  /** Starts a round of gossip; returns false if there is nothing to send. */
  boolean startRound() {
    boolean hasNewVersion = versionRoundsLeft > 0;
    versionRoundsLeft = Math.max(0, versionRoundsLeft - 1);
    return hasNewVersion || gossip.size() > 0;
  }

  /** Returns the next sequence number, by which acknowledgements are matched to probes. */
  long nextSequence() {
    sequence++;
    return sequence;
  }

  /** Takes the updates to send with the next message. */
  List<MemberUpdate> takeUpdates() {
    return gossip.take(settings.maxUpdatesPerMessage());
  }

  /** Returns a message with queued updates and a new sequence number. */
  PeerMessage compose(Object body) {
    return compose(body, nextSequence(), takeUpdates());
  }

  /** Returns a message with the given updates and sequence number. */
  PeerMessage compose(Object body, long messageSequence, List<MemberUpdate> updates) {
    return new PeerMessage(self.toUpdate(), messageSequence, configurationVersion, updates, body);
  }
}
