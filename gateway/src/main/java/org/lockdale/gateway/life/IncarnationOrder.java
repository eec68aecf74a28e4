package org.lockdale.gateway.life;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.lockdale.gateway.backend.Backend;

/**
 * Decides which incarnation of a server to use when its record changes. A write of an earlier
 * incarnation may take effect seconds late, after the first write of the next one; if it were
 * accepted, it would restore a backend that is gone and discard the state of the one that serves.
 * So a record with an earlier start time changes nothing, with two exceptions, since the clock of a
 * server may have been set back between two incarnations: the later incarnation is known to have
 * ended, or the record has existed for longer than the server takes to write again. A state machine
 * without I/O; not safe for use by several threads.
 */
public final class IncarnationOrder {

  /**
   * Time in milliseconds after which a record with an earlier start time is accepted. Servers write
   * their records every 1.2 s, and one write may be lost.
   */
  static final long STALE_RECORD_MILLIS = 3_000;

  private static final long NEVER = Long.MAX_VALUE;

  private final Map<String, Backend> accepted = new HashMap<>();
  private final Map<String, Long> earlierRecordSince = new HashMap<>();

  /**
   * Returns the records to use.
   *
   * @param read records as read now, one per server
   * @param hasEnded whether an incarnation is known to have ended
   * @param nowMillis monotonic time
   */
  public List<Backend> selectRecords(
      Collection<Backend> read, Predicate<Backend> hasEnded, long nowMillis) {
    Map<String, Backend> next = new HashMap<>();
    for (Backend record : read) {
      String server = record.incarnation().server();
      next.put(server, choose(server, record, hasEnded, nowMillis));
    }
    accepted.clear();
    accepted.putAll(next);
    earlierRecordSince.keySet().retainAll(next.keySet());
    return new ArrayList<>(next.values());
  }

  private Backend choose(
      String server, Backend record, Predicate<Backend> hasEnded, long nowMillis) {
    Backend known = accepted.get(server);
    boolean earlier = known != null && record.incarnation().isBefore(known.incarnation());
    if (!earlier || hasEnded.test(known)) {
      earlierRecordSince.remove(server);
      return record;
    }
    long since = earlierRecordSince.computeIfAbsent(server, first -> nowMillis);
    if (nowMillis - since < STALE_RECORD_MILLIS) {
      return known;
    }
    earlierRecordSince.remove(server);
    return record;
  }

  /**
   * Returns the monotonic time at which to decide again, or {@link Long#MAX_VALUE} if no decision
   * is pending.
   */
  public long nextDecisionAtMillis() {
    long earliest = NEVER;
    for (long since : earlierRecordSince.values()) {
      earliest = Math.min(earliest, since + STALE_RECORD_MILLIS);
    }
    return earliest;
  }
}
