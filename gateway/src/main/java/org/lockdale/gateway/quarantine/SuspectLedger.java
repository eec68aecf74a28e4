package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Decides which requests are quarantined because backends crash while they run them. A crash
 * affects all requests that run on the backend, of which at most one is its cause, so one crash is
 * weak evidence against a request, and crashes of several backends that ran the same request are
 * strong evidence. An attempt whose outcome is unknown, as after its node was killed, counts as a
 * crash until it is resolved.
 *
 * <p>A request is quarantined from its third crash on, if at each its response had not started or
 * had started only shortly before, and from its fourth or fifth crash on otherwise, since a crash
 * after the response had been arriving for longer counts two thirds. A successful response clears a
 * request. Crashes that a request shares with a quarantined one count in full: excluding them
 * spared no innocent request in 200 simulated runs of each of six scenarios, and let requests that
 * crash servers together continue.
 *
 * <p>It addresses requests that crash servers one after another, about one per second, with about
 * twenty other requests on each server. It doesn't address overload, which crashes no server. A
 * state machine without I/O; not safe for use by several threads.
 */
final class SuspectLedger {

  /**
   * Weight from which a request is quarantined: that of three crashes before the response started.
   */
  static final int QUARANTINE_WEIGHT = 9;

  /**
   * Weight from which a request is quarantined while many requests reach three crashes: that of
   * five such crashes. Servers that crash all the time do so whatever requests they run, and
   * innocent requests would be quarantined. The two further sends after the third crash are within
   * the three that the deployments tolerate.
   */
  private static final int QUARANTINE_WEIGHT_IN_CROWD = 15;

  /**
   * Number of requests with three crashes above which the higher weight is required. With a lower
   * number, three requests that crash servers and are sent in several copies would reach it
   * together with the requests beside them, and continue beyond their third crash.
   */
  private static final int CROWD_THRESHOLD = 32;

  /**
   * Weight of one such crash. All requests on the backend get it, so it is weak evidence against
   * each of them. It is recorded in the shared store nevertheless, since all nodes that know of it
   * may have stopped before the next crash.
   */
  static final int SINGLE_CRASH_WEIGHT = 3;

  /**
   * Weight of two such crashes, from which a suspect is significant: the next crash may quarantine
   * it, so all nodes have to have received it by then.
   */
  static final int SIGNIFICANT_WEIGHT = 6;

  /**
   * Longest time in milliseconds for which a response had been arriving at an early crash. A
   * request that had run well for longer is an unlikely cause; in a recorded incident the cause ran
   * for 40 to 80 ms.
   */
  static final long EARLY_MILLIS = 1_000;

  /**
   * Two crashes of a third of a fleet's engines leave about 500 suspects of about 300 bytes each.
   */
  private static final int MAX_SUSPECTS = 1_024;

  private final long holdMillis;
  private final Map<RequestFingerprint, SuspectEntry> entries = new LinkedHashMap<>();

  /**
   * Creates an empty ledger.
   *
   * @param holdMillis time in milliseconds after the last crash for which a request is quarantined
   */
  SuspectLedger(long holdMillis) {
    this.holdMillis = holdMillis;
  }

  /**
   * Returns the key of a crash that has just been found: a new one if the former crash of the
   * backend was taken back since the backend lived on, and not for another reason.
   *
   * @param aliveAtMillis latest monotonic time at which the backend is known to have been alive
   */
  String keyOfNewCrash(RequestFingerprint fingerprint, String backend, long aliveAtMillis) {
    SuspectEntry entry = entries.get(fingerprint);
    return entry != null && entry.mayCrashAgain(backend, aliveAtMillis)
        ? CrashKeys.next(backend, entry.suspect.crashes())
        : latestKey(fingerprint, backend);
  }

  /** Returns the key of the latest crash of a backend that is known, or of its first one. */
  String latestKey(RequestFingerprint fingerprint, String backend) {
    return CrashKeys.latest(backend, find(fingerprint).map(Suspect::crashes).orElse(Map.of()));
  }

  /**
   * Records that an attempt of a request was lost on this node just now.
   *
   * @return whether any of it is new
   */
  boolean recordLoss(Suspect seen, long nowMillis) {
    boolean changed = merge(seen, nowMillis);
    SuspectEntry entry = entries.get(seen.fingerprint());
    seen.crashes().keySet().forEach(key -> entry.learnedAt.put(key, nowMillis));
    return changed;
  }

  /**
   * Retracts one crash of a request.
   *
   * @return whether it counted
   */
  boolean retract(RequestFingerprint fingerprint, String key) {
    SuspectEntry entry = entries.get(fingerprint);
    if (entry == null || !entry.isCrashed(key)) {
      return false;
    }
    entry.suspect = entry.suspect.withCleared(key);
    return true;
  }

  /**
   * Merges information about a request from this node or another one.
   *
   * @return whether any of it is new
   */
  boolean merge(Suspect received, long nowMillis) {
    SuspectEntry entry = entries.get(received.fingerprint());
    if (entry == null) {
      evictIfFull();
      SuspectEntry first = new SuspectEntry(received, nowMillis);
      first.recordLearned(received, nowMillis);
      entries.put(received.fingerprint(), first);
      return true;
    }
    entry.recordLearned(received, nowMillis);
    Suspect merged = entry.suspect.merge(received);
    if (merged.equals(entry.suspect)) {
      return false;
    }
    if (merged.crashes().size() > entry.suspect.crashes().size()) {
      entry.lastCrashAtMillis = nowMillis;
    }
    entry.suspect = merged;
    return true;
  }

  /**
   * Removes the suspect with the least weight, and of several the oldest, if the ledger is full.
   */
  private void evictIfFull() {
    if (entries.size() >= MAX_SUSPECTS) {
      entries.values().stream()
          .min(Comparator.comparingInt(entry -> entry.suspect.weight()))
          .ifPresent(lightest -> entries.remove(lightest.suspect.fingerprint()));
    }
  }

  /** Returns the suspect with a fingerprint; empty if it is unknown. */
  Optional<Suspect> find(RequestFingerprint fingerprint) {
    return Optional.ofNullable(entries.get(fingerprint)).map(entry -> entry.suspect);
  }

  /**
   * Returns the monotonic time at which this node learned of the latest crash of a backend that ran
   * a request, or a time in the distant past if the request is unknown.
   */
  long lastCrashAtMillis(RequestFingerprint fingerprint) {
    SuspectEntry entry = entries.get(fingerprint);
    return entry == null ? Long.MIN_VALUE / 2 : entry.lastCrashAtMillis;
  }

  /**
   * Returns how many crashes of a request may have come after all nodes knew of the third; 0 if the
   * request is unknown.
   *
   * @param beforeMillis monotonic time up to which crashes are counted
   */
  int lateCrashes(RequestFingerprint fingerprint, long beforeMillis) {
    SuspectEntry entry = entries.get(fingerprint);
    return entry == null ? 0 : entry.lateCrashes(beforeMillis);
  }

  /** Returns the backends of whose crashes this node learned in a period, both ends included. */
  Set<String> crashedBackends(long fromMillis, long untilMillis) {
    Set<String> crashed = new HashSet<>();
    for (SuspectEntry entry : entries.values()) {
      entry.learnedAt.forEach(
          (key, at) -> {
            if (at >= fromMillis && at <= untilMillis) {
              crashed.add(CrashKeys.backendOf(key));
            }
          });
    }
    return crashed;
  }

  /** Returns all suspects. */
  List<Suspect> all() {
    return entries.values().stream().map(entry -> entry.suspect).toList();
  }

  /** Returns the suspects with the greatest weights, a limited number of them. */
  List<Suspect> heaviest(int max) {
    return entries.values().stream()
        .map(entry -> entry.suspect)
        .filter(suspect -> suspect.weight() > 0)
        .sorted(Comparator.comparingInt(Suspect::weight).reversed())
        .limit(max)
        .toList();
  }

  /**
   * Clears all crashes of a request that got a successful response or was released.
   *
   * @return the new state of the suspect; empty if nothing changed
   */
  Optional<Suspect> clear(RequestFingerprint fingerprint) {
    SuspectEntry entry = entries.get(fingerprint);
    if (entry == null || entry.suspect.weight() == 0) {
      return Optional.empty();
    }
    entry.suspect = entry.suspect.withAllCleared();
    return Optional.of(entry.suspect);
  }

  /**
   * Returns the ids of the backends that crashed, as far as known, and are not known to have been
   * alive since.
   */
  Set<String> possiblyCrashedBackends() {
    Set<String> crashed = new TreeSet<>();
    for (SuspectEntry entry : entries.values()) {
      entry.suspect.crashes().keySet().stream()
          .filter(key -> !entry.outlived.contains(key))
          .map(CrashKeys::backendOf)
          .forEach(crashed::add);
    }
    return crashed;
  }

  /**
   * Records that a backend was alive at a moment. Crashes that this node did not learn of before
   * that moment may have happened after it, so they still count.
   *
   * @return suspects of which a crash was retracted
   */
  List<Suspect> recordAlive(String backend, long atMillis) {
    List<Suspect> changed = new ArrayList<>();
    for (SuspectEntry entry : entries.values()) {
      for (String key : CrashKeys.allOf(backend, entry.suspect.crashes())) {
        boolean outlived = entry.learnedAt.get(key) < atMillis;
        if (outlived && entry.isCrashed(key)) {
          entry.suspect = entry.suspect.withCleared(key);
          changed.add(entry.suspect);
        }
        if (outlived) {
          entry.outlived.add(key);
        }
      }
    }
    return changed;
  }

  /**
   * Processes expired suspects: a request whose quarantine time is over may be tried again, and is
   * quarantined again at its next crash; other suspects are removed.
   *
   * @return requests that may be tried again
   */
  List<Suspect> expire(long nowMillis) {
    List<Suspect> released = new ArrayList<>();
    for (SuspectEntry entry : List.copyOf(entries.values())) {
      if (nowMillis - entry.lastCrashAtMillis <= holdMillis) {
        continue;
      }
      if (entry.suspect.weight() > SIGNIFICANT_WEIGHT) {
        entry.suspect = entry.suspect.clearedDownTo(SIGNIFICANT_WEIGHT);
        entry.lastCrashAtMillis = nowMillis;
        released.add(entry.suspect);
      } else {
        entries.remove(entry.suspect.fingerprint());
      }
    }
    return released;
  }

  /** Returns the requests that are quarantined because of their crashes alone. */
  List<QuarantinedRequest> quarantined() {
    return quarantined(Map.of());
  }

  /**
   * Returns the requests that are quarantined, and those that are withheld since they would be
   * quarantined if the backends of their unresolved attempts had crashed.
   *
   * @param unresolved unresolved attempts, by request
   */
  List<QuarantinedRequest> quarantined(Map<RequestFingerprint, UnresolvedAttempts> unresolved) {
    List<QuarantinedRequest> quarantined = new ArrayList<>();
    int requiredWeight = requiredWeight();
    for (SuspectEntry entry : entries.values()) {
      if (entry.suspect.weight() >= requiredWeight) {
        quarantined.add(quarantined(entry));
      }
    }
    for (UnresolvedAttempts attempts : unresolved.values()) {
      SuspectEntry entry = entries.get(attempts.fingerprint());
      Set<String> uncounted = uncounted(attempts.backends(), entry);
      int weight = knownWeight(entry);
      boolean isSuspect = weight > 0 && weight < requiredWeight;
      if (isSuspect && weight + uncounted.size() * SINGLE_CRASH_WEIGHT >= requiredWeight) {
        quarantined.add(withheld(attempts, entry, uncounted));
      }
    }
    return quarantined;
  }

  /**
   * Returns the requests that are withheld because of their unresolved attempts.
   *
   * @param unresolved unresolved attempts, by request
   */
  Set<RequestFingerprint> withheld(Map<RequestFingerprint, UnresolvedAttempts> unresolved) {
    Set<RequestFingerprint> withheld = new HashSet<>();
    if (!unresolved.isEmpty()) {
      quarantined(unresolved).stream()
          .filter(QuarantinedRequest::isWithheld)
          .forEach(request -> withheld.add(request.fingerprint()));
    }
    return withheld;
  }

  private int requiredWeight() {
    long candidates =
        entries.values().stream()
            .filter(entry -> entry.suspect.weight() >= QUARANTINE_WEIGHT)
            .count();
    return candidates > CROWD_THRESHOLD ? QUARANTINE_WEIGHT_IN_CROWD : QUARANTINE_WEIGHT;
  }

  /**
   * Returns the weight of a request of which an attempt is recorded. Only attempts of suspects are
   * recorded, so if this node knows of no crash, it has missed one at least.
   */
  private static int knownWeight(@Nullable SuspectEntry entry) {
    return entry == null ? SINGLE_CRASH_WEIGHT : entry.suspect.weight();
  }

  private static Set<String> uncounted(Set<String> backends, @Nullable SuspectEntry entry) {
    Set<String> uncounted = new TreeSet<>(backends);
    uncounted.removeIf(
        backend ->
            entry != null
                && entry.suspect.crashes().containsKey(backend)
                && !entry.mayCrashAgain(backend, Long.MIN_VALUE));
    return uncounted;
  }

  private static QuarantinedRequest withheld(
      UnresolvedAttempts attempts, @Nullable SuspectEntry entry, Set<String> uncounted) {
    return new QuarantinedRequest(
        attempts.fingerprint(),
        entry == null ? Set.of() : CrashKeys.backendsOf(entry.suspect.crashes().keySet()),
        uncounted,
        attempts.resolvedByMillis());
  }

  private QuarantinedRequest quarantined(SuspectEntry entry) {
    Suspect suspect = entry.suspect;
    return new QuarantinedRequest(
        suspect.fingerprint(),
        CrashKeys.backendsOf(suspect.crashes().keySet()),
        Set.of(),
        entry.lastCrashAtMillis + holdMillis);
  }
}
