package org.lockdale.gateway.quarantine;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.caller.PromptPart;
import org.lockdale.gateway.quarantine.part.PartQuarantine;
import org.tinylog.Logger;

/**
 * Counts the crashes that lost attempts reveal against their requests. Runs on one event loop.
 *
 * <p>A closed connection counts as a crash of its backend until the backend is known to be alive.
 * Whether it crashed may be known only seconds later, and each node that saw a connection close may
 * be killed before that.
 */
final class CrashCounter implements CrashWatch.Listener {

  /** Callers choose how many parts they name. */
  private static final int MAX_LOGGED_PARTS = 8;

  private final SuspectLedger ledger;
  private final PartQuarantine parts;
  private final ToLongFunction<String> lastAliveAtMillis;
  private final Time time;
  private final Consumer<RequestFingerprint> propagate;
  private final Runnable publishSoon;

  /**
   * Creates a counter.
   *
   * @param ledger counts crashes against requests
   * @param parts counts crashes against parts of prompts
   * @param lastAliveAtMillis returns the latest monotonic time at which a backend is known to have
   *     been alive
   * @param propagate sends and records a suspect that has changed
   * @param publishSoon publishes the state of the ledger shortly after
   */
  CrashCounter(
      SuspectLedger ledger,
      PartQuarantine parts,
      ToLongFunction<String> lastAliveAtMillis,
      Time time,
      Consumer<RequestFingerprint> propagate,
      Runnable publishSoon) {
    this.ledger = ledger;
    this.parts = parts;
    this.lastAliveAtMillis = lastAliveAtMillis;
    this.time = time;
    this.propagate = propagate;
    this.publishSoon = publishSoon;
  }

  @Override
  public void onConnectionClosed(LostAttempt attempt) {
    long aliveAtMillis = lastAliveAtMillis.applyAsLong(attempt.backend());
    count(
        "connection-closed-under",
        attempt,
        ledger.keyOfNewCrash(fingerprintOf(attempt), attempt.backend(), aliveAtMillis));
    countParts(attempt, attempt.backend());
    publishSoon.run();
  }

  @Override
  public void onClosedByNextIncarnation(LostAttempt attempt) {
    String key = CrashKeys.ofNextIncarnation(attempt.backend());
    count("connection-closed-under", attempt, key);
    countParts(attempt, key);
    publishSoon.run();
  }

  @Override
  public void onAssigned(LostAttempt attempt) {
    RequestFingerprint fingerprint = fingerprintOf(attempt);
    String key = CrashKeys.ofNextIncarnation(attempt.backend());
    parts.retractCrash(key);
    if (ledger.retract(fingerprint, key)) {
      propagate.accept(fingerprint);
      publishSoon.run();
    }
  }

  @Override
  public void onCrash(BackendCrash crash) {
    for (LostAttempt lost : crash.lost()) {
      count("backend-ended-under", lost, ledger.latestKey(fingerprintOf(lost), lost.backend()));
      countParts(lost, lost.backend());
    }
    publishSoon.run();
  }

  private static List<String> idsOfParts(CallerRequest request) {
    return request.promptParts().stream().limit(MAX_LOGGED_PARTS).map(PromptPart::id).toList();
  }

  private static RequestFingerprint fingerprintOf(LostAttempt attempt) {
    return RequestFingerprint.of(attempt.request(), attempt.caller());
  }

  private void countParts(LostAttempt lost, String key) {
    int contents = fingerprintOf(lost).hashCode();
    parts.recordCrash(lost.request(), lost.caller(), contents, lost.arrivedMillis(), key);
  }

  private void count(String event, LostAttempt lost, String key) {
    RequestFingerprint fingerprint = fingerprintOf(lost);
    Logger.info(
        "event={} backend={} request={} fingerprint={} answer-ms={} parts={}",
        event,
        lost.backend(),
        lost.request().id(),
        fingerprint,
        lost.responseMillis(),
        idsOfParts(lost.request()));
    boolean early = lost.arrivedMillis() <= SuspectLedger.EARLY_MILLIS;
    int sketch = RequestFingerprint.sketchOf(lost.request(), lost.caller());
    Suspect seen =
        new Suspect(fingerprint, sketch, Map.of(key, new CrashInvolvement(early, false)));
    if (ledger.recordLoss(seen, time.monotonicMillis())) {
      propagate.accept(fingerprint);
    }
  }
}
