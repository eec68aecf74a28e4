package org.lockdale.gateway.quarantine;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.tinylog.Logger;

/**
 * Counts the crashes of backends while they ran attempts that other nodes, or this one before it
 * restarted, have not concluded. Runs on one event loop.
 */
final class UnconcludedAttempts {

  private final AttemptJournal journal;
  private final SuspectLedger ledger;
  private final Supplier<BackendTable> backends;
  private final ToLongFunction<String> lastAliveAtMillis;
  private final Time time;
  private final Consumer<Suspect> propagate;

  /**
   * Creates an instance.
   *
   * @param backends backends that have a record
   * @param lastAliveAtMillis returns the latest monotonic time at which a backend is known to have
   *     been alive
   * @param propagate sends and records a suspect that has changed
   */
  UnconcludedAttempts(
      AttemptJournal journal,
      SuspectLedger ledger,
      Supplier<BackendTable> backends,
      ToLongFunction<String> lastAliveAtMillis,
      Time time,
      Consumer<Suspect> propagate) {
    this.journal = journal;
    this.ledger = ledger;
    this.backends = backends;
    this.lastAliveAtMillis = lastAliveAtMillis;
    this.time = time;
    this.propagate = propagate;
  }

  /** Counts the crashes found since the last call; returns whether any of them is new. */
  boolean count() {
    boolean changed = false;
    for (SuspectAttempt attempt : journal.takeCrashed(backends.get(), lastAliveAtMillis)) {
      Logger.info(
          "event=backend-ended-under backend={} fingerprint={} evidence=unconcluded",
          attempt.backend(),
          attempt.fingerprint());
      String key = keyOf(attempt);
      Map<String, CrashInvolvement> crashes = Map.of(key, new CrashInvolvement(true, false));
      Suspect suspect = new Suspect(attempt.fingerprint(), attempt.sketch(), crashes);
      if (ledger.merge(suspect, time.monotonicMillis())) {
        propagate.accept(suspect);
        changed = true;
      }
    }
    return changed;
  }

  private String keyOf(SuspectAttempt attempt) {
    RequestFingerprint fingerprint = attempt.fingerprint();
    String backend = attempt.backend();
    return journal.isOutlived(attempt)
        ? ledger.latestKey(fingerprint, backend)
        : ledger.keyOfNewCrash(fingerprint, backend, lastAliveAtMillis.applyAsLong(backend));
  }
}
