package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.tinylog.Logger;

/**
 * Lets quarantined requests be sent a few times as trials, since all their crashes may have had
 * another cause, as when a failure domain loses power, and only an answer clears them.
 *
 * <p>A request that does crash servers may reach only few of them later, so the trials of a request
 * are limited over all nodes and restarts: each is claimed in the shared store first, and only the
 * process that holds the claim sends the request. A node claims a trial only if it was asked for
 * the request, and the coordinator first, so that a claim is likely to be used. A claim whose
 * process ends, or whose trial is lost, is followed by another one while any are left. A trial that
 * is lost as all backends of its pool crash has shown nothing, and is made again. Once a request
 * was cleared, the trials before that don't count: one that crashes servers never is.
 *
 * <p>Its methods run on one event loop, but for {@link #recordRefusal}.
 */
final class SuspectTrials {

  /**
   * Time in milliseconds from a trial, or from a crash after it, to the next trial. Whatever else
   * crashes servers may be over by then.
   */
  private static final long NEXT_DELAY_MILLIS = 10_000;

  /**
   * Greatest number of trials of a request. The deployments tolerate three late sends, and one may
   * be under way when a request is quarantined.
   */
  private static final int MAX_TRIALS = 2;

  /** Time in milliseconds within which a node must have refused a request to claim its trial. */
  private static final long ASKED_MILLIS = 2_000;

  /** Time in milliseconds for which other nodes leave a trial to the coordinator. */
  private static final long OTHERS_DELAY_MILLIS = 1_500;

  /** Range in milliseconds over which the other nodes spread, so that few of them claim a trial. */
  private static final int OTHERS_SPREAD_MILLIS = 3_000;

  /** Time in milliseconds within which a claimed trial usually has an outcome. */
  private static final long OUTCOME_MILLIS = 2_000;

  private final SuspectLedger ledger;
  private final TrialClaims claims;
  private final Predicate<RequestFingerprint> answeredBefore;
  private final long delayMillis;
  private final BooleanSupplier coordinator;
  private final String node;
  private final Time time;
  private final LostTrials lostTrials;
  private final Map<TrialClaim, TrialPermit> permits = new HashMap<>();
  private final Map<RequestFingerprint, Long> refusedAt = new ConcurrentHashMap<>();
  private Map<RequestFingerprint, TrialPermit> offered = Map.of();
  private Map<RequestFingerprint, Long> retryAt = Map.of();

  /**
   * Creates an instance without trials.
   *
   * @param answeredBefore whether a request is known to have got a successful response a while ago
   * @param delayMillis time in milliseconds from the last crash to the first trial
   * @param coordinator whether this node claims trials before the others
   * @param node id of this node
   */
  SuspectTrials(
      SuspectLedger ledger,
      TrialClaims claims,
      Predicate<RequestFingerprint> answeredBefore,
      long delayMillis,
      BooleanSupplier coordinator,
      String node,
      Time time) {
    this.ledger = ledger;
    this.claims = claims;
    this.lostTrials = new LostTrials(ledger);
    this.answeredBefore = answeredBefore;
    this.delayMillis = delayMillis;
    this.coordinator = coordinator;
    this.node = node;
    this.time = time;
  }

  /** Records that a quarantined request was refused; from any thread. */
  void recordRefusal(RequestFingerprint fingerprint) {
    refusedAt.put(fingerprint, time.monotonicMillis());
  }

  /**
   * Records that an attempt was lost. If it was a trial, and all backends of its pool crashed at
   * that moment, it has shown nothing.
   */
  void recordLoss(LostAttempt lost, BackendTable backends) {
    TrackedBackend backend = backends.find(lost.backend());
    if (!lost.isClosed() || backend == null || permits.isEmpty()) {
      return;
    }
    claims
        .held(RequestFingerprint.of(lost.request(), lost.caller()))
        .filter(claim -> wasSentBy(claim, lost.request().id()))
        .ifPresent(
            claim ->
                lostTrials.add(
                    claim, backends.ofPool(backend.backend().pool()), time.monotonicMillis()));
  }

  private boolean wasSentBy(TrialClaim claim, String requestId) {
    TrialPermit permit = permits.get(claim);
    return permit != null && permit.isUsedBy(requestId);
  }

  private void withdrawInconclusive(long nowMillis) {
    for (TrialClaim claim : lostTrials.takeInconclusive(nowMillis)) {
      Logger.info(
          "event=trial-inconclusive fingerprint={} number={}", claim.fingerprint(), claim.number());
      claims.withdraw(claim);
    }
  }

  /**
   * Claims the trials that are due, and offers those that this process holds; to be called
   * periodically.
   *
   * @return whether the permits or the times of retries have changed
   */
  boolean tick() {
    long now = time.monotonicMillis();
    Map<RequestFingerprint, TrialPermit> permitsBefore = offered;
    Map<RequestFingerprint, Long> retriesBefore = retryAt;
    offered = new HashMap<>();
    retryAt = new HashMap<>();
    withdrawInconclusive(now);
    Set<RequestFingerprint> quarantined = new HashSet<>();
    for (QuarantinedRequest request : ledger.quarantined()) {
      quarantined.add(request.fingerprint());
      update(request.fingerprint(), now);
    }
    refusedAt.keySet().retainAll(quarantined);
    ledger.all().stream()
        .filter(Suspect::wasCleared)
        .forEach(suspect -> claims.conclude(suspect.fingerprint()));
    permits.keySet().removeIf(claim -> !claims.isKnown(claim) && !isSuspect(claim.fingerprint()));
    if (coordinator.getAsBoolean()) {
      claims.removeUnneeded(this::isSuspect, now);
    }
    return !offered.equals(permitsBefore) || !retryAt.equals(retriesBefore);
  }

  private boolean isSuspect(RequestFingerprint fingerprint) {
    return ledger.find(fingerprint).filter(suspect -> suspect.weight() > 0).isPresent();
  }

  private void update(RequestFingerprint fingerprint, long nowMillis) {
    if (nowMillis >= ledger.lastCrashAtMillis(fingerprint) + delayMillis) {
      claims.held(fingerprint).ifPresent(this::offer);
    }
    Optional<TrialClaim> latest = claims.latest(fingerprint);
    if (claims.count(fingerprint) < maxTrials(fingerprint)) {
      long dueAtMillis = dueAtMillis(fingerprint, latest);
      retryAt.put(fingerprint, dueAtMillis + OUTCOME_MILLIS);
      boolean isTurn = nowMillis >= dueAtMillis + ownDelayMillis(fingerprint);
      if (isTurn && wasAsked(fingerprint, nowMillis)) {
        claims.request(fingerprint, claims.latestNumber(fingerprint) + 1);
      }
    }
    latest
        .filter(claim -> nowMillis < claims.readAtMillis(claim) + OUTCOME_MILLIS)
        .ifPresent(this::expectOutcome);
  }

  private void offer(TrialClaim claim) {
    offered.put(claim.fingerprint(), permits.computeIfAbsent(claim, claimed -> new TrialPermit()));
  }

  private void expectOutcome(TrialClaim claim) {
    retryAt.put(claim.fingerprint(), claims.readAtMillis(claim) + OUTCOME_MILLIS);
  }

  /**
   * Returns how many trials of a request there may be. Late sends before the first one are within
   * the same limit; a request that is answered at other times doesn't crash servers.
   */
  private int maxTrials(RequestFingerprint fingerprint) {
    if (answeredBefore.test(fingerprint)) {
      return Integer.MAX_VALUE;
    }
    long firstTrialMillis = claims.firstReadAtMillis(fingerprint);
    return Math.max(1, MAX_TRIALS - ledger.lateCrashes(fingerprint, firstTrialMillis));
  }

  private long dueAtMillis(RequestFingerprint fingerprint, Optional<TrialClaim> latest) {
    long lastCrashAtMillis = ledger.lastCrashAtMillis(fingerprint);
    if (latest.isEmpty()) {
      return lastCrashAtMillis + delayMillis;
    }
    long readAtMillis = claims.readAtMillis(latest.get());
    return Math.max(lastCrashAtMillis, readAtMillis) + NEXT_DELAY_MILLIS;
  }

  private long ownDelayMillis(RequestFingerprint fingerprint) {
    int place = Math.floorMod(31 * node.hashCode() + fingerprint.hashCode(), OTHERS_SPREAD_MILLIS);
    return coordinator.getAsBoolean() ? 0 : OTHERS_DELAY_MILLIS + place;
  }

  private boolean wasAsked(RequestFingerprint fingerprint, long nowMillis) {
    Long refused = refusedAt.get(fingerprint);
    return refused != null && nowMillis - refused < ASKED_MILLIS;
  }

  /** Returns the permits with which quarantined requests may be sent from this node. */
  Map<RequestFingerprint, TrialPermit> permits() {
    return Map.copyOf(offered);
  }

  /** Returns the same requests with the times at which a trial is expected to have an outcome. */
  List<QuarantinedRequest> withRetryTimes(List<QuarantinedRequest> requests) {
    List<QuarantinedRequest> changed = new ArrayList<>();
    for (QuarantinedRequest request : requests) {
      Long retryAtMillis = request.isWithheld() ? null : retryAt.get(request.fingerprint());
      changed.add(retryAtMillis == null ? request : request.withUntilMillis(retryAtMillis));
    }
    return changed;
  }
}
