package org.lockdale.gateway.quarantine;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.quarantine.row.UnneededRows;
import org.tinylog.Logger;

/**
 * Claims trials of quarantined requests in the shared store, and knows which ones have been
 * claimed. Claims stay in the store until their request is cleared, so that their number limits the
 * trials over all nodes and restarts. Runs on one event loop.
 */
final class TrialClaims {

  /** Pause between two calls to the store for claims of one request. */
  private static final long REQUEST_PAUSE_MILLIS = 1_000;

  private final TrialTable table;
  private final AttemptIds ids;
  private final Executor eventLoop;
  private final Time time;

  /** Monotonic times at which this node read the claims that are in the store. */
  private final Map<TrialClaim, Long> readAt = new HashMap<>();

  /** Monotonic times at which this process last requested a claim. */
  private final Map<RequestFingerprint, Long> requestedAt = new HashMap<>();

  /** Claims of an earlier quarantine of their request, which was cleared since. */
  private final Set<TrialClaim> concluded = new HashSet<>();

  private final Set<TrialClaim> removing = new HashSet<>();
  private final UnneededRows<TrialClaim> unneeded = new UnneededRows<>();

  TrialClaims(TrialTable table, AttemptIds ids, Executor eventLoop, Time time) {
    this.table = table;
    this.ids = ids;
    this.eventLoop = eventLoop;
    this.time = time;
  }

  /** Processes all claims in the store. */
  void update(Collection<TrialClaim> rows) {
    readAt.keySet().retainAll(Set.copyOf(rows));
    concluded.retainAll(readAt.keySet());
    rows.forEach(claim -> readAt.putIfAbsent(claim, time.monotonicMillis()));
  }

  /**
   * Records that a request was cleared, so that the claims known so far don't count when it is
   * quarantined again.
   */
  void conclude(RequestFingerprint fingerprint) {
    claimsOf(fingerprint).forEach(concluded::add);
  }

  /** Returns the greatest number of the claims of a request; 0 if none is known. */
  int latestNumber(RequestFingerprint fingerprint) {
    return claimsOf(fingerprint).mapToInt(TrialClaim::number).max().orElse(0);
  }

  /** Returns the number of claims since a request was last cleared. */
  int count(RequestFingerprint fingerprint) {
    return (int) currentClaimsOf(fingerprint).count();
  }

  /** Returns the latest claim since a request was last cleared; empty if none is known. */
  Optional<TrialClaim> latest(RequestFingerprint fingerprint) {
    return currentClaimsOf(fingerprint).max(Comparator.comparingInt(TrialClaim::number));
  }

  private Stream<TrialClaim> claimsOf(RequestFingerprint fingerprint) {
    return readAt.keySet().stream().filter(claim -> claim.fingerprint().equals(fingerprint));
  }

  private Stream<TrialClaim> currentClaimsOf(RequestFingerprint fingerprint) {
    return claimsOf(fingerprint).filter(claim -> !concluded.contains(claim));
  }

  /** Returns whether a claim is in the store, as far as this node knows. */
  boolean isKnown(TrialClaim claim) {
    return readAt.containsKey(claim);
  }

  /** Returns the monotonic time at which this node read a claim that it knows. */
  long readAtMillis(TrialClaim claim) {
    return readAt.get(claim);
  }

  /**
   * Returns the monotonic time at which this node read the first claim since a request was last
   * cleared; {@link Long#MAX_VALUE} if none is known.
   */
  long firstReadAtMillis(RequestFingerprint fingerprint) {
    return currentClaimsOf(fingerprint).mapToLong(readAt::get).min().orElse(Long.MAX_VALUE);
  }

  /**
   * Returns the latest claim that this process holds since a request was last cleared; empty if
   * there is none.
   */
  Optional<TrialClaim> held(RequestFingerprint fingerprint) {
    return currentClaimsOf(fingerprint)
        .filter(claim -> ids.isOfThisProcess(claim.owner()))
        .max(Comparator.comparingInt(TrialClaim::number));
  }

  /** Requests a claim from the store; does nothing if the previous call was a moment ago. */
  void request(RequestFingerprint fingerprint, int number) {
    long now = time.monotonicMillis();
    requestedAt.values().removeIf(at -> now - at >= REQUEST_PAUSE_MILLIS);
    if (requestedAt.putIfAbsent(fingerprint, now) != null) {
      return;
    }
    TrialClaim claim = new TrialClaim(fingerprint, number, ids.next());
    table
        .claimTrial(claim)
        .whenCompleteAsync((done, failure) -> logRequest(claim, failure), eventLoop);
  }

  /** The claim counts once the copy of the table contains it, whatever the reply was. */
  private static void logRequest(TrialClaim claim, @Nullable Throwable failure) {
    if (failure == null) {
      Logger.info(
          "event=trial-claimed fingerprint={} number={}", claim.fingerprint(), claim.number());
    } else {
      Logger.info(
          "event=trial-not-claimed fingerprint={} number={} cause=\"{}\"",
          claim.fingerprint(),
          claim.number(),
          failure.getMessage());
    }
  }

  /** Removes the claims of requests that have been cleared for a while. */
  void removeUnneeded(Predicate<RequestFingerprint> isSuspect, long nowMillis) {
    Predicate<TrialClaim> isNeeded = claim -> isSuspect.test(claim.fingerprint());
    for (TrialClaim claim : unneeded.due(readAt.keySet(), isNeeded, nowMillis)) {
      remove(claim);
    }
  }

  /** Removes a claim whose trial has shown nothing, so that it doesn't count at any node. */
  void withdraw(TrialClaim claim) {
    concluded.add(claim);
    remove(claim);
  }

  private void remove(TrialClaim claim) {
    if (!removing.add(claim)) {
      return;
    }
    table
        .removeTrial(claim)
        .whenCompleteAsync(
            (done, failure) -> {
              removing.remove(claim);
              if (failure == null) {
                readAt.remove(claim);
              }
            },
            eventLoop);
  }
}
