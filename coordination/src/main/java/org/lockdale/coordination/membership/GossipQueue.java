package org.lockdale.coordination.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.protocol.generated.MemberUpdate;

/**
 * Member updates that are still to be sent on. Each is sent a bounded number of times, a few on
 * each message, so a burst of changes makes the spread longer but never the messages larger.
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

  /** Queues an update; an earlier one of the same member is dropped. */
  void add(Member member, int transmissions) {
    entries.remove(member.id());
    entries.put(member.id(), new Entry(member.toUpdate(), transmissions));
  }

  /** Takes up to a number of updates, those longest unsent first. */
  List<MemberUpdate> take(int most) {
    List<MemberUpdate> taken = new ArrayList<>(Math.min(most, entries.size()));
    List<Entry> again = new ArrayList<>();
    Iterator<Entry> iterator = entries.values().iterator();
    while (iterator.hasNext() && taken.size() < most) {
      Entry entry = iterator.next();
      iterator.remove();
      taken.add(entry.update);
      entry.remaining--;
      if (entry.remaining > 0) {
        again.add(entry);
      }
    }
    for (Entry entry : again) {
      entries.put(entry.update.getId(), entry);
    }
    return taken;
  }

  int size() {
    return entries.size();
  }
}
