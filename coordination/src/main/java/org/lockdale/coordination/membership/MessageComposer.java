package org.lockdale.coordination.membership;

import java.util.List;
import org.lockdale.protocol.generated.MemberUpdate;
import org.lockdale.protocol.generated.PeerMessage;

/**
 * Writes the messages of one node: who it is, what it has in force, and the news that ride along.
 */
final class MessageComposer {

  /** Rounds of gossip that tell of a new configuration version, besides all other messages. */
  private static final int VERSION_ROUNDS = 6;

  private final MembershipSettings settings;
  private final GossipQueue gossip = new GossipQueue();
  private Member self;
  private long configurationVersion;
  private int versionRounds;
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
    versionRounds = VERSION_ROUNDS;
  }

  /** Queues news to be sent on, more often the more members there are. */
  void spread(Member member, int reachableMembers) {
    int digits = String.valueOf(reachableMembers).length();
    gossip.add(member, settings.transmissionFactor() * digits);
  }

  /** Begins a round of gossip; false where there is nothing to tell. */
  boolean beginRound() {
    boolean tellsVersion = versionRounds > 0;
    versionRounds = Math.max(0, versionRounds - 1);
    return tellsVersion || gossip.size() > 0;
  }

  /** Returns a number that pairs a probe with its acknowledgement. */
  long nextSequence() {
    sequence++;
    return sequence;
  }

  /** Takes the news that ride on the next message. */
  List<MemberUpdate> takeNews() {
    return gossip.take(settings.maxUpdatesPerMessage());
  }

  /** Returns a message with news, paired with no other. */
  PeerMessage compose(Object body) {
    return compose(body, nextSequence(), takeNews());
  }

  /** Returns a message with given updates. */
  PeerMessage compose(Object body, long pairing, List<MemberUpdate> updates) {
    return new PeerMessage(self.toUpdate(), pairing, configurationVersion, updates, body);
  }
}
