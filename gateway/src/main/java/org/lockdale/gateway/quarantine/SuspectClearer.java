package org.lockdale.gateway.quarantine;

import java.util.Optional;
import java.util.function.Consumer;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Clears suspects that do not crash backends, or no longer count as suspects, and reports them to
 * the other nodes. Runs on one event loop.
 */
final class SuspectClearer {

  private final SuspectLedger ledger;
  private final SuspectPublisher publisher;
  private final AnsweredRequests answeredRequests;
  private final Time time;
  private final Consumer<Suspect> propagate;
  private final Runnable publishSoon;

  /**
   * Creates an instance.
   *
   * @param publisher knows which requests were quarantined or withheld last
   * @param answeredRequests requests that got a successful response a while ago
   * @param propagate sends and records a suspect that has changed
   * @param publishSoon publishes the state of the ledger shortly after
   */
  SuspectClearer(
      SuspectLedger ledger,
      SuspectPublisher publisher,
      AnsweredRequests answeredRequests,
      Time time,
      Consumer<Suspect> propagate,
      Runnable publishSoon) {
    this.ledger = ledger;
    this.publisher = publisher;
    this.answeredRequests = answeredRequests;
    this.time = time;
    this.propagate = propagate;
    this.publishSoon = publishSoon;
  }

  /** Clears a request that got a successful response. */
  void clearAnswered(RequestFingerprint fingerprint) {
    clear(fingerprint, "answered");
  }

  /**
   * Clears a request that an operator releases.
   *
   * @return whether any crash counted against it
   */
  boolean release(RequestFingerprint fingerprint) {
    return clear(fingerprint, "released");
  }

  /** Clears the requests that were answered shortly before the crashes that count against them. */
  void clearExplained() {
    answeredRequests
        .explained(ledger.quarantined())
        .forEach(fingerprint -> clear(fingerprint, "answered-before"));
  }

  /** Clears the requests that were held long enough; returns whether there are any. */
  boolean clearExpired(long nowMillis) {
    boolean changed = false;
    for (Suspect released : ledger.expire(nowMillis)) {
      log(released.fingerprint(), "held-long-enough");
      propagate.accept(released);
      changed = true;
    }
    return changed;
  }

  private boolean clear(RequestFingerprint fingerprint, String reason) {
    boolean significant = ledger.find(fingerprint).filter(Suspect::isSignificant).isPresent();
    Optional<Suspect> cleared =
        ledger
            .clear(fingerprint)
            .or(() -> publisher.withheldWithoutCrash(fingerprint).filter(this::merge));
    if (cleared.isEmpty()) {
      return false;
    }
    if (significant || publisher.isQuarantinedOrWithheld(fingerprint)) {
      // If it was not significant, other nodes receive this state when they report a second crash.
      log(fingerprint, reason);
      propagate.accept(cleared.get());
      publishSoon.run();
    }
    return true;
  }

  private boolean merge(Suspect suspect) {
    return ledger.merge(suspect, time.monotonicMillis());
  }

  private static void log(RequestFingerprint fingerprint, String reason) {
    Logger.info("event=suspect-cleared fingerprint={} reason={}", fingerprint, reason);
  }
}
