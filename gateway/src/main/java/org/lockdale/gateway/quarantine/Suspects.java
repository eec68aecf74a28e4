package org.lockdale.gateway.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lockdale.gateway.caller.CallerRequest;

/**
 * The requests that backends ran when they crashed, and which of them are quarantined or withheld,
 * as the request path reads them. Immutable but for the permits of trials.
 */
public final class Suspects {

  /** No suspects. */
  public static final Suspects NONE = new Suspects(Set.of(), Set.of(), List.of(), Map.of());

  private final Set<Integer> sketches = new HashSet<>();
  private final Set<RequestFingerprint> suspected;
  private final Map<RequestFingerprint, QuarantinedRequest> quarantined = new HashMap<>();
  private final Map<RequestFingerprint, TrialPermit> permits;

  Suspects(
      Collection<Suspect> suspects,
      Collection<UnresolvedAttempts> unresolved,
      Collection<QuarantinedRequest> quarantined,
      Map<RequestFingerprint, TrialPermit> permits) {
    Set<RequestFingerprint> fingerprints = new HashSet<>();
    for (Suspect suspect : suspects) {
      sketches.add(suspect.sketch());
      fingerprints.add(suspect.fingerprint());
    }
    for (UnresolvedAttempts attempts : unresolved) {
      sketches.add(attempts.sketch());
      fingerprints.add(attempts.fingerprint());
    }
    this.suspected = fingerprints;
    this.permits = Map.copyOf(permits);
    quarantined.forEach(request -> this.quarantined.put(request.fingerprint(), request));
  }

  /**
   * Returns whether a request may be one of the suspects; only then does its body have to be read.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   */
  private boolean mayBeSuspect(CallerRequest request, String caller) {
    return !sketches.isEmpty() && sketches.contains(RequestFingerprint.sketchOf(request, caller));
  }

  /**
   * Returns why a request is quarantined, or empty if it may go on. While a trial of it is offered,
   * all requests with its contents may, and the first that is sent is the trial.
   */
  Optional<QuarantinedRequest> quarantined(CallerRequest request, String caller) {
    return find(request, caller).filter(found -> !isTrialOffered(found.fingerprint()));
  }

  private boolean isTrialOffered(RequestFingerprint fingerprint) {
    TrialPermit permit = permits.get(fingerprint);
    return permit != null && permit.isAvailable();
  }

  /**
   * Returns whether a request may be sent to a backend now, and uses up the permit if it is sent as
   * a trial.
   */
  boolean mayBeSent(CallerRequest request, String caller) {
    Optional<QuarantinedRequest> found = find(request, caller);
    if (found.isEmpty()) {
      return true;
    }
    TrialPermit permit = permits.get(found.get().fingerprint());
    return permit != null && permit.use(request.id());
  }

  /** Offers a trial again that did not leave this node. */
  void restorePermit(CallerRequest request, String caller) {
    find(request, caller)
        .map(found -> permits.get(found.fingerprint()))
        .ifPresent(permit -> permit.restore(request.id()));
  }

  private Optional<QuarantinedRequest> find(CallerRequest request, String caller) {
    return quarantined.isEmpty() || !mayBeSuspect(request, caller)
        ? Optional.empty()
        : Optional.ofNullable(quarantined.get(RequestFingerprint.of(request, caller)));
  }

  /** Returns the fingerprint of a request if it is a suspect, or empty. */
  Optional<RequestFingerprint> fingerprintIfSuspect(CallerRequest request, String caller) {
    if (!mayBeSuspect(request, caller)) {
      return Optional.empty();
    }
    return Optional.of(RequestFingerprint.of(request, caller)).filter(suspected::contains);
  }

  /** Returns a new attempt of a request if it is a suspect, or empty. */
  Optional<SuspectAttempt> attempt(
      CallerRequest request, String caller, String backend, AttemptIds ids) {
    return fingerprintIfSuspect(request, caller)
        .map(
            fingerprint ->
                new SuspectAttempt(
                    fingerprint,
                    RequestFingerprint.sketchOf(request, caller),
                    backend,
                    ids.next()));
  }

  /** Returns the requests that are quarantined or withheld. */
  public Collection<QuarantinedRequest> quarantined() {
    return List.copyOf(quarantined.values());
  }
}
