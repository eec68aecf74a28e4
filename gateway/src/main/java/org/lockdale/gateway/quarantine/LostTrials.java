package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * The trials whose backend has crashed. Where all backends of a pool crash at one moment, one of
 * them under a trial, and the others without the request, which is quarantined, the crash has
 * another cause. Not safe for use by several threads.
 */
final class LostTrials {

  /** Time in milliseconds within which crashes of one moment are reported by all nodes. */
  private static final long MOMENT_MILLIS = 1_000;

  /** Smallest number of backends of a pool; fewer may crash at one moment by chance. */
  private static final int MIN_BACKENDS = 3;

  /**
   * A trial whose backend has crashed.
   *
   * @param claim the claim with which it was sent
   * @param pool ids of all backends that served in the pool then
   * @param atMillis monotonic time of the crash
   */
  private record LostTrial(TrialClaim claim, Set<String> pool, long atMillis) {

    /** Copies the ids. */
    LostTrial {
      pool = Set.copyOf(pool);
    }
  }

  private final SuspectLedger ledger;
  private final List<LostTrial> undecided = new ArrayList<>();

  LostTrials(SuspectLedger ledger) {
    this.ledger = ledger;
  }

  /**
   * Adds a trial whose backend has crashed.
   *
   * @param claim the claim with which it was sent
   * @param pool all backends of the pool
   */
  void add(TrialClaim claim, List<TrackedBackend> pool, long nowMillis) {
    Set<String> ids = new HashSet<>();
    for (TrackedBackend backend : pool) {
      if (backend.isServing()) {
        ids.add(backend.backend().id());
      }
    }
    undecided.add(new LostTrial(claim, ids, nowMillis));
  }

  /**
   * Removes the trials about which all nodes have reported by now, and returns the claims of those
   * that were lost as all backends of the pool crashed.
   */
  List<TrialClaim> takeInconclusive(long nowMillis) {
    List<TrialClaim> inconclusive = new ArrayList<>();
    Iterator<LostTrial> trials = undecided.iterator();
    while (trials.hasNext()) {
      LostTrial trial = trials.next();
      if (nowMillis > trial.atMillis() + MOMENT_MILLIS) {
        trials.remove();
        if (hasWholePoolCrashed(trial)) {
          inconclusive.add(trial.claim());
        }
      }
    }
    return inconclusive;
  }

  private boolean hasWholePoolCrashed(LostTrial trial) {
    long at = trial.atMillis();
    Set<String> crashed = ledger.crashedBackends(at - MOMENT_MILLIS, at + MOMENT_MILLIS);
    Set<String> alive = new HashSet<>(trial.pool());
    alive.removeAll(crashed);
    return trial.pool().size() >= MIN_BACKENDS && alive.isEmpty();
  }
}
