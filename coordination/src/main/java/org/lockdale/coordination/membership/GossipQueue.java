package org.lockdale.coordination.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.protocol.generated.MemberUpdate;

/**
 * Member updates that are still to be disseminated. Each one is sent a bounded number of times,
 * with a bounded number on each message, so a burst of changes delays their dissemination but does
 * not enlarge the messages.
 */
final class GossipQueue {

  private static final class Entry {
    final MemberUpdate update;
    int remaining;

    Entry(MemberUpdate update, int remaining) {
      this.update = update;
      this.remaining = remaining;
    }
  }

  private final Map<String, Entry> entries = new LinkedHashMap<>();

  /**
   * Queues an update, and drops an earlier one of the same member.
   *
   * @param member the member to disseminate
   * @param transmissions number of times that the update is to be sent
   */
  void add(Member member, int transmissions) {
    entries.remove(member.id());
    entries.put(member.id(), new Entry(member.toUpdate(), transmissions));
  }

  /** Takes up to {@code maxUpdates} updates for one message, least recently sent first. */
  List<MemberUpdate> take(int maxUpdates) {
    List<MemberUpdate> taken = new ArrayList<>(Math.min(maxUpdates, entries.size()));
    List<Entry> requeued = new ArrayList<>();
    Iterator<Entry> iterator = entries.values().iterator();
    while (iterator.hasNext() && taken.size() < maxUpdates) {
      Entry entry = iterator.next();
      iterator.remove();
      taken.add(entry.update);
      entry.remaining--;
      if (entry.remaining > 0) {
        requeued.add(entry);
      }
    }
    for (Entry entry : requeued) {
      entries.put(entry.update.getId(), entry);
    }
    return taken;
  }

  int size() {
    return entries.size();
  }
}
