package org.lockdale.gateway.life;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.lockdale.gateway.backend.Backend;

/**
 * Decides which life of a server its record may speak for. A write of a former life may be carried
 * out seconds late, after the first of the next one; believed, it would bring back a back end that
 * is gone and drop all that was learned of the one that serves. So a record that tells an earlier
 * start changes nothing, with two exceptions, since a server's clock may have been set back between
 * two lives: the later life is known to be over, or the record has stood for longer than the server
 * takes to write again. A state machine without I/O; not safe for use by several threads.
 */
public final class LifeOrder {

  /** Servers write their records each 1.2 s; one write may be lost. */
  static final long STALE_RECORD_MILLIS = 3_000;

  private static final long NEVER = Long.MAX_VALUE;

  private final Map<String, Backend> relied = new HashMap<>();
  private final Map<String, Long> earlierSince = new HashMap<>();

  /**
   * Returns the records to go on with.
   *
   * @param read records as read now, one a server
   * @param isOver whether a life is known to be over
   * @param nowMillis monotonic time
   */
  public List<Backend> order(Collection<Backend> read, Predicate<Backend> isOver, long nowMillis) {
    Map<String, Backend> next = new HashMap<>();
    for (Backend record : read) {
      String server = record.incarnation().server();
      next.put(server, choose(server, record, isOver, nowMillis));
    }
    relied.clear();
    relied.putAll(next);
    earlierSince.keySet().retainAll(next.keySet());
    return new ArrayList<>(next.values());
  }

  private Backend choose(String server, Backend record, Predicate<Backend> isOver, long nowMillis) {
    Backend known = relied.get(server);
    boolean earlier = known != null && record.incarnation().isBefore(known.incarnation());
    if (!earlier || isOver.test(known)) {
      earlierSince.remove(server);
      return record;
    }
    long since = earlierSince.computeIfAbsent(server, first -> nowMillis);
    if (nowMillis - since < STALE_RECORD_MILLIS) {
      return known;
    }
    earlierSince.remove(server);
    return record;
  }

  /** Returns the monotonic time at which to decide again, or {@link Long#MAX_VALUE} for none. */
  public long decidesAtMillis() {
    long earliest = NEVER;
    for (long since : earlierSince.values()) {
      earliest = Math.min(earliest, since + STALE_RECORD_MILLIS);
    }
    return earliest;
  }
}
