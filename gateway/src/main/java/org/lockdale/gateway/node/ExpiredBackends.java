package org.lockdale.gateway.node;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lockdale.gateway.backend.Backend;

/**
 * Keeps using backends for a short time after their records expired during an outage of the store.
 *
 * <p>Backends renew their records in the store, so records expire while the store is unreachable,
 * although the backends still serve. They write them again once the store is reachable. Without
 * this class, a node that read the store right after an outage had no backends for up to two
 * seconds.
 *
 * <p>Records that are missing after an outage or a restore of the store are retained for {@link
 * #RETENTION_MILLIS}, except those of draining backends. A time without proofs is not enough to
 * infer an outage: a node that lost its relay nodes receives no proofs for seconds, while the store
 * is reachable and backends are removed from it. That node would send requests to removed backends
 * for up to twice the permitted time. Therefore a failure of the store must have been observed as
 * well, either by a call of this node or through a relay that reports an old proof. A state machine
 * without I/O; not safe for use by several threads.
 */
final class ExpiredBackends {

  /**
   * Time after the end of an outage for which missing records are retained. Backends rewrite their
   * records within about two seconds. A node may detect the end of the outage a few hundred
   * milliseconds late, and the shortest drain time in use is two seconds, so this is less.
   */
  static final long RETENTION_MILLIS = 1_800;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final long outageMillis;
  private final Map<String, Backend> retained = new HashMap<>();
  private long provenAtMillis = NEVER;
  private long recoveredAtMillis = NEVER;
  private boolean failureSeen;

  /**
   * Creates an instance without a proof.
   *
   * @param outageMillis time without a proof after which the store counts as unreachable
   */
  ExpiredBackends(long outageMillis) {
    this.outageMillis = outageMillis;
  }

  /**
   * Processes a proof that the records were current.
   *
   * @param atMillis monotonic time at which the records were current
   * @param nowMillis monotonic time
   */
  void onProof(long atMillis, long nowMillis) {
    boolean outage = provenAtMillis != NEVER && atMillis - provenAtMillis > outageMillis;
    if (outage && failureSeen) {
      recoveredAtMillis = atMillis;
    }
    provenAtMillis = Math.max(provenAtMillis, atMillis);
    failureSeen = nowMillis - provenAtMillis > outageMillis;
  }

  /** Processes a restore of the store from an older copy, which lacks newer records. */
  void onHistoryReplaced(long nowMillis) {
    recoveredAtMillis = nowMillis;
  }

  /** Processes a call to the store that failed. */
  void onUnreachable() {
    failureSeen = true;
  }

  /**
   * Returns the records to use: those that were read, and those that are retained.
   *
   * @param before records used until now
   * @param read records read from the store
   * @param present servers that have a row, even if it is unreadable or belongs to another
   *     incarnation; their records have not expired
   * @param nowMillis monotonic time
   */
  List<Backend> merge(
      Collection<Backend> before, Collection<Backend> read, Set<String> present, long nowMillis) {
    Map<String, Backend> merged = new HashMap<>();
    read.forEach(backend -> merged.put(backend.id(), backend));
    retained.clear();
    if (nowMillis < retentionEndsAtMillis()) {
      for (Backend backend : before) {
        boolean expired = !present.contains(backend.incarnation().server());
        if (expired && !backend.draining()) {
          retained.put(backend.id(), backend);
        }
      }
    }
    merged.putAll(retained);
    return List.copyOf(merged.values());
  }

  /** Returns whether the last call of {@link #merge} retained any record. */
  boolean hasRetained() {
    return !retained.isEmpty();
  }

  /** Returns the monotonic time from which missing records are no longer retained. */
  long retentionEndsAtMillis() {
    return recoveredAtMillis + RETENTION_MILLIS;
  }
}
