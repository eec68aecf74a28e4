package org.lockdale.gateway.node;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lockdale.gateway.backend.Backend;

/**
 * Back ends renew their records in the store, so that records lapse while the store is out of
 * reach, though the back ends serve on. They write them again once it is back. Without this, a node
 * that read the store right after an outage had no back ends for up to two seconds.
 *
 * <p>Records that are gone when the store comes back are believed for a time. One that said it was
 * leaving is not. A time without proofs alone is no outage: a node whose relays were lost hears
 * nothing for seconds, while the store goes on to tell others who has left. It would send to back
 * ends that are gone for as long again as they may still be sent to. So the store must have been
 * seen to fail: by a call of this node, or by a relay that tells an old proof. A state machine
 * without I/O; not safe for use by several threads.
 */
final class LapsedBackends {

  /**
   * Back ends have written their records again within about two seconds. A node may learn a few
   * hundred milliseconds late that the store is back, and the shortest time in use for which a
   * leaving back end still serves is two seconds, so this is less.
   */
  static final long RETURN_MILLIS = 1_800;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long outageMillis;
  private final Map<String, Backend> believed = new HashMap<>();
  private long provenAtMillis = NEVER;
  private long backAtMillis = NEVER;
  private boolean failureSeen;

  /**
   * Creates it.
   *
   * @param outageMillis time without a proof from which on the store was out of reach
   */
  LapsedBackends(long outageMillis) {
    this.outageMillis = outageMillis;
  }

  /**
   * Takes in a proof that the records were current.
   *
   * @param atMillis monotonic time of the proof
   * @param nowMillis monotonic time
   */
  void proven(long atMillis, long nowMillis) {
    boolean outage = provenAtMillis != NEVER && atMillis - provenAtMillis > outageMillis;
    if (outage && failureSeen) {
      backAtMillis = atMillis;
    }
    provenAtMillis = Math.max(provenAtMillis, atMillis);
    failureSeen = nowMillis - provenAtMillis > outageMillis;
  }

  /** Takes in that the store has come back from an older copy, which lacks what is newer. */
  void historyReplaced(long nowMillis) {
    backAtMillis = nowMillis;
  }

  /** Takes in that the store did not answer this node. */
  void unreachable() {
    failureSeen = true;
  }

  /**
   * Returns the records to rely on.
   *
   * @param before records that were relied on until now
   * @param read records as read now
   * @param present servers with an entry, also one that can't be read or is of another life: theirs
   *     have not lapsed
   * @param nowMillis monotonic time
   */
  List<Backend> complete(
      Collection<Backend> before, Collection<Backend> read, Set<String> present, long nowMillis) {
    Map<String, Backend> complete = new HashMap<>();
    read.forEach(backend -> complete.put(backend.id(), backend));
    believed.clear();
    if (nowMillis < endsAtMillis()) {
      for (Backend backend : before) {
        boolean lapsed = !present.contains(backend.incarnation().server());
        if (lapsed && !backend.leaving()) {
          believed.put(backend.id(), backend);
        }
      }
    }
    complete.putAll(believed);
    return List.copyOf(complete.values());
  }

  /** Returns whether any record is relied on that was not read. */
  boolean isBelieving() {
    return !believed.isEmpty();
  }

  /** Returns the monotonic time at which records that are still missing are taken as gone. */
  long endsAtMillis() {
    return backAtMillis + RETURN_MILLIS;
  }
}
