package org.lockdale.gateway.quarantine;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.tinylog.Logger;

/** Retracts crashes of backends that are known to have been alive later. Runs on one event loop. */
final class CrashRetractor {

  private final SuspectLedger ledger;
  private final Supplier<BackendTable> backends;
  private final ToLongFunction<String> lastAliveAtMillis;
  private final Consumer<Suspect> propagate;

  /**
   * Creates an instance.
   *
   * @param backends backends that have a record
   * @param lastAliveAtMillis returns the latest monotonic time at which a backend is known to have
   *     been alive
   * @param propagate sends and records a suspect that has changed
   */
  CrashRetractor(
      SuspectLedger ledger,
      Supplier<BackendTable> backends,
      ToLongFunction<String> lastAliveAtMillis,
      Consumer<Suspect> propagate) {
    this.ledger = ledger;
    this.backends = backends;
    this.lastAliveAtMillis = lastAliveAtMillis;
    this.propagate = propagate;
  }

  /** Retracts the crashes found since the last call; returns whether there are any. */
  boolean retract(long nowMillis) {
    boolean changed = false;
    for (String backend : ledger.possiblyCrashedBackends()) {
      TrackedBackend tracked = backends.get().find(backend);
      if (tracked == null) {
        continue;
      }
      long aliveAtMillis = lastAliveAtMillis.applyAsLong(backend);
      List<Suspect> retracted = ledger.recordAlive(backend, aliveAtMillis);
      if (!retracted.isEmpty()) {
        boolean answered = tracked.lastKnownAliveMillis() == aliveAtMillis;
        Logger.info(
            "event=backend-lives backend={} evidence={} seen-ms-ago={}",
            backend,
            answered ? "answered" : "record-stands",
            nowMillis - aliveAtMillis);
        retracted.forEach(propagate);
        changed = true;
      }
    }
    return changed;
  }
}
