package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Decides which requests are held back since back ends end under them. An end takes all requests
 * along that run on the back end, and one of them at most is its cause, so one end says little, and
 * the same request at the ends of several back ends says much.
 *
 * <p>A request is held back from its third end on, where its answer had not begun or a moment
 * before only; of others from its fifth end on, since an answer that had been coming for longer
 * counts two thirds. A good answer clears it. Ends that a request shares with one that is held back
 * count whole: to leave them out spared no innocent request in 200 simulated runs of each of six
 * kinds, and let requests that end servers together go on.
 *
 * <p>It answers requests that end servers one after the other, at about one a second and with
 * twenty neighbours each; not overload, which ends no server. A state machine without I/O; not safe
 * for use by several threads.
 */
final class SuspectLedger {

  /** Weight of three ends before the answer began. */
  static final int QUARANTINE_WEIGHT = 9;

  /**
   * Weight of five such ends, which it takes while many requests come to three: servers that end
   * all the time end under any request, and innocent ones would be held back. Two sends beyond the
   * third end are borne by the deployments, which allow three.
   */
  private static final int QUARANTINE_WEIGHT_IN_CROWD = 15;

  /**
   * With less, three requests that end servers in several copies, and their neighbours, make a
   * crowd, and go on beyond their third end.
   */
  private static final int CROWD = 32;

  /**
   * Weight of one such end. All that run there get it, so it says little of each, but the nodes
   * that know of it may all be gone by the next.
   */
  static final int SINGLE_CRASH_WEIGHT = 3;

  /** Weight of two such ends: the next may decide, so all nodes have to know by then. */
  static final int WATCHED_WEIGHT = 6;

  /**
   * Answers that had been coming for longer when their back end ended had run well for a while, so
   * that they are unlikely causes; in the recorded incident the cause ran for 40 to 80 ms.
   */
  static final long EARLY_MILLIS = 1_000;

  /** Two crashes of a third of a fleet's engines leave some 500; a suspect takes some 300 bytes. */
  private static final int MAX_SUSPECTS = 1_024;

  private static final class Entry {
    private Suspect suspect;
    private long newEndAtMillis;

    /** When each end was learned, by back end. */
    private final Map<String, Long> learnedAt = new HashMap<>();

    Entry(Suspect suspect, long nowMillis) {
      this.suspect = suspect;
      this.newEndAtMillis = nowMillis;
    }

    void learned(Suspect told, long nowMillis) {
      told.ends().keySet().forEach(backend -> learnedAt.putIfAbsent(backend, nowMillis));
    }

    boolean isEnded(String backend) {
      SuspectEnd end = suspect.ends().get(backend);
      return end != null && !end.forgiven();
    }
  }

  private final long holdMillis;
  private final Map<RequestFingerprint, Entry> entries = new LinkedHashMap<>();

  /**
   * Creates an empty ledger.
   *
   * @param holdMillis time after the last end for which a request is held back
   */
  SuspectLedger(long holdMillis) {
    this.holdMillis = holdMillis;
  }

  /**
   * Takes in that attempts of a request were lost here just now.
   *
   * @return whether any of it is new
   */
  boolean recordLoss(Suspect seen, long nowMillis) {
    boolean news = merge(seen, nowMillis);
    Entry entry = entries.get(seen.fingerprint());
    seen.ends().keySet().forEach(backend -> entry.learnedAt.put(backend, nowMillis));
    return news;
  }

  /**
   * Takes in what is known of a request, here or at another node.
   *
   * @return whether any of it is new
   */
  boolean merge(Suspect told, long nowMillis) {
    Entry entry = entries.get(told.fingerprint());
    if (entry == null) {
      makeRoom();
      Entry first = new Entry(told, nowMillis);
      first.learned(told, nowMillis);
      entries.put(told.fingerprint(), first);
      return true;
    }
    entry.learned(told, nowMillis);
    Suspect merged = entry.suspect.merge(told);
    if (merged.equals(entry.suspect)) {
      return false;
    }
    if (merged.ends().size() > entry.suspect.ends().size()) {
      entry.newEndAtMillis = nowMillis;
    }
    entry.suspect = merged;
    return true;
  }

  /** The lightest gives way, and of several the oldest. */
  private void makeRoom() {
    if (entries.size() >= MAX_SUSPECTS) {
      entries.values().stream()
          .min(Comparator.comparingInt(entry -> entry.suspect.weight()))
          .ifPresent(lightest -> entries.remove(lightest.suspect.fingerprint()));
    }
  }

  /** Returns what is known of a request. */
  Optional<Suspect> find(RequestFingerprint fingerprint) {
    return Optional.ofNullable(entries.get(fingerprint)).map(entry -> entry.suspect);
  }

  /** Returns when the latest end of a request was learned; never for one that is not known. */
  long lastCrashAtMillis(RequestFingerprint fingerprint) {
    Entry entry = entries.get(fingerprint);
    return entry == null ? Long.MIN_VALUE / 2 : entry.newEndAtMillis;
  }

  /** Returns all requests that are remembered. */
  List<Suspect> all() {
    return entries.values().stream().map(entry -> entry.suspect).toList();
  }

  /** Takes in that a request was answered well, or released; returns what is known now. */
  Optional<Suspect> forgive(RequestFingerprint fingerprint) {
    Entry entry = entries.get(fingerprint);
    if (entry == null || entry.suspect.weight() == 0) {
      return Optional.empty();
    }
    entry.suspect = entry.suspect.forgive();
    return Optional.of(entry.suspect);
  }

  /** Returns the back ends whose ends speak against any request. */
  Set<String> crashedBackends() {
    Set<String> ended = new TreeSet<>();
    for (Entry entry : entries.values()) {
      entry.suspect.ends().keySet().stream().filter(entry::isEnded).forEach(ended::add);
    }
    return ended;
  }

  /**
   * Takes in that a back end has lived at a moment. Ends that were learned later than that may have
   * happened since.
   *
   * @return requests that were suspected for an end that did not happen
   */
  List<Suspect> recordAlive(String backend, long atMillis) {
    List<Suspect> changed = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (entry.isEnded(backend) && entry.learnedAt.get(backend) < atMillis) {
        entry.suspect = entry.suspect.forgive(backend);
        changed.add(entry.suspect);
      }
    }
    return changed;
  }

  /**
   * Ends what is due: a request that was held back for its time may be tried again, and is held
   * back at its next end; others are forgotten.
   *
   * @return requests that may be tried again
   */
  List<Suspect> expire(long nowMillis) {
    List<Suspect> released = new ArrayList<>();
    for (Entry entry : List.copyOf(entries.values())) {
      if (nowMillis - entry.newEndAtMillis <= holdMillis) {
        continue;
      }
      if (entry.suspect.weight() > WATCHED_WEIGHT) {
        entry.suspect = entry.suspect.forgiveDownTo(WATCHED_WEIGHT);
        entry.newEndAtMillis = nowMillis;
        released.add(entry.suspect);
      } else {
        entries.remove(entry.suspect.fingerprint());
      }
    }
    return released;
  }

  /** Returns the requests that are held back. */
  List<HeldRequest> quarantined() {
    List<Entry> heavy =
        entries.values().stream()
            .filter(entry -> entry.suspect.weight() >= QUARANTINE_WEIGHT)
            .toList();
    int enough = heavy.size() > CROWD ? QUARANTINE_WEIGHT_IN_CROWD : QUARANTINE_WEIGHT;
    return heavy.stream()
        .filter(entry -> entry.suspect.weight() >= enough)
        .map(this::quarantined)
        .toList();
  }

  private HeldRequest quarantined(Entry entry) {
    Suspect suspect = entry.suspect;
    return new HeldRequest(
        suspect.fingerprint(), suspect.ends().keySet(), entry.newEndAtMillis + holdMillis);
  }
}
