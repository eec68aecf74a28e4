package org.lockdale.gateway.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Publishes to the request path which requests are suspects, and which of them are quarantined or
 * withheld. Runs on one event loop.
 */
final class SuspectPublisher {

  private final Section<Suspects> section;
  private final SuspectLedger ledger;
  private final SuspectTrials trials;
  private final Time time;
  private Map<RequestFingerprint, UnresolvedAttempts> published = Map.of();
  private List<QuarantinedRequest> previouslyQuarantined = List.of();

  SuspectPublisher(
      Section<Suspects> section, SuspectLedger ledger, SuspectTrials trials, Time time) {
    this.section = section;
    this.ledger = ledger;
    this.trials = trials;
    this.time = time;
  }

  /** Returns whether unresolved attempts differ from those that were published last. */
  boolean isOutdated(Map<RequestFingerprint, UnresolvedAttempts> unresolved) {
    return !unresolved.equals(published);
  }

  /** Returns whether a request was quarantined or withheld when suspects were published last. */
  boolean isQuarantinedOrWithheld(RequestFingerprint fingerprint) {
    return previouslyQuarantined.stream()
        .anyMatch(request -> request.fingerprint().equals(fingerprint));
  }

  /**
   * Returns hashes of the requests that were quarantined when suspects were published last, by id
   * of the backends that crashed while they ran them.
   */
  Map<String, Set<Integer>> quarantinedByBackend() {
    Map<String, Set<Integer>> requests = new HashMap<>();
    for (QuarantinedRequest request : previouslyQuarantined) {
      if (!request.isWithheld()) {
        for (String backend : request.crashedBackends()) {
          requests
              .computeIfAbsent(backend, id -> new HashSet<>())
              .add(request.fingerprint().hashCode());
        }
      }
    }
    return requests;
  }

  /**
   * Returns a request that is withheld although no crash is known, as a suspect without crashes;
   * empty if it is not. Once the ledger contains that suspect, its unresolved attempts don't count.
   */
  Optional<Suspect> withheldWithoutCrash(RequestFingerprint fingerprint) {
    return Optional.ofNullable(published.get(fingerprint))
        .filter(attempts -> ledger.find(fingerprint).isEmpty())
        .map(attempts -> new Suspect(fingerprint, attempts.sketch(), Map.of()));
  }

  /** Publishes the state of the ledger with unresolved attempts. */
  void publish(Map<RequestFingerprint, UnresolvedAttempts> unresolved) {
    published = unresolved;
    List<QuarantinedRequest> quarantined = trials.withRetryTimes(ledger.quarantined(unresolved));
    quarantined.forEach(this::logIfNew);
    previouslyQuarantined = quarantined;
    section.publish(
        new Suspects(ledger.all(), unresolved.values(), quarantined, trials.permits()),
        time.monotonicMillis());
  }

  private void logIfNew(QuarantinedRequest request) {
    if (previouslyQuarantined.stream().anyMatch(other -> isSameState(request, other))) {
      return;
    }
    if (request.isWithheld()) {
      Logger.info(
          "event=request-withheld fingerprint={} backends={} unresolved={}",
          request.fingerprint(),
          request.crashedBackends(),
          request.unresolvedBackends());
    } else {
      Logger.warn(
          "event=request-quarantined fingerprint={} backends={}",
          request.fingerprint(),
          request.crashedBackends());
    }
  }

  private static boolean isSameState(QuarantinedRequest request, QuarantinedRequest other) {
    return other.fingerprint().equals(request.fingerprint())
        && other.isWithheld() == request.isWithheld();
  }
}
