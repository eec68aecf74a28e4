package org.lockdale.gateway.quarantine;

import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Counts the crashes that lost attempts reveal against their requests. Runs on one event loop.
 *
 * <p>A closed connection counts as a crash of its backend until the backend is known to be alive.
 * Whether it crashed may be known only seconds later, and each node that saw a connection close may
 * be killed before that.
 */
final class CrashCounter implements CrashWatch.Listener {

  private final SuspectLedger ledger;
  private final Time time;
  private final Consumer<RequestFingerprint> propagate;
  private final Runnable publishSoon;

  /**
   * Creates a counter.
   *
   * @param propagate sends and records a suspect that has changed
   * @param publishSoon publishes the state of the ledger shortly after
   */
  CrashCounter(
      SuspectLedger ledger,
      Time time,
      Consumer<RequestFingerprint> propagate,
      Runnable publishSoon) {
    this.ledger = ledger;
    this.time = time;
    this.propagate = propagate;
    this.publishSoon = publishSoon;
  }

  @Override
  public void onConnectionClosed(LostAttempt attempt) {
    count("connection-closed-under", attempt, known -> CrashKeys.next(attempt.backend(), known));
    publishSoon.run();
  }

  @Override
  public void onClosedByNextIncarnation(LostAttempt attempt) {
    String key = CrashKeys.ofNextIncarnation(attempt.backend());
    count("connection-closed-under", attempt, known -> key);
    publishSoon.run();
  }

  @Override
  public void onAssigned(LostAttempt attempt) {
    RequestFingerprint fingerprint = RequestFingerprint.of(attempt.request(), attempt.caller());
    if (ledger.retract(fingerprint, CrashKeys.ofNextIncarnation(attempt.backend()))) {
      propagate.accept(fingerprint);
      publishSoon.run();
    }
  }

  @Override
  public void onCrash(BackendCrash crash) {
    for (LostAttempt lost : crash.lost()) {
      count("backend-ended-under", lost, known -> CrashKeys.latest(lost.backend(), known));
    }
    publishSoon.run();
  }

  private void count(
      String event, LostAttempt lost, Function<Map<String, CrashInvolvement>, String> keyOf) {
    RequestFingerprint fingerprint = RequestFingerprint.of(lost.request(), lost.caller());
    Logger.info(
        "event={} backend={} request={} fingerprint={} answer-ms={}",
        event,
        lost.backend(),
        lost.request().id(),
        fingerprint,
        lost.responseMillis());
    boolean early = lost.responseMillis() <= SuspectLedger.EARLY_MILLIS;
    int sketch = RequestFingerprint.sketchOf(lost.request(), lost.caller());
    CrashInvolvement crash = new CrashInvolvement(early, false);
    if (ledger.recordLoss(fingerprint, sketch, crash, keyOf, time.monotonicMillis())) {
      propagate.accept(fingerprint);
    }
  }
}
