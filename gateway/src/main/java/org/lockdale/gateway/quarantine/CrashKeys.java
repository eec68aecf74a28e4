package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.lockdale.gateway.backend.Incarnation;

/**
 * Keys of the crashes of a suspect: the id of the incarnation, and for one that was taken to have
 * crashed before and then seen to live, a number that tells the later crash from the former one.
 * The crash of an incarnation that has no record yet has the id of the one before and a suffix.
 * Nodes of earlier versions take a key with a number or suffix for the id of another backend.
 */
final class CrashKeys {

  private static final String SEPARATOR = "#";
  private static final String NEXT_INCARNATION = "next";

  /** Maximum number of crashes of one incarnation that are told apart; it can crash once only. */
  private static final int MAX_CRASHES = 4;

  private CrashKeys() {}

  /** Returns the id of the incarnation in a key. */
  static String backendOf(String key) {
    int separator = key.lastIndexOf(SEPARATOR);
    boolean numbered =
        separator > 0
            && Incarnation.parse(key.substring(0, separator)).startedAtMillis().isPresent();
    return numbered ? key.substring(0, separator) : key;
  }

  /** Returns the ids of the incarnations in some keys. */
  static Set<String> backendsOf(Set<String> keys) {
    return keys.stream().map(CrashKeys::backendOf).collect(Collectors.toSet());
  }

  /** Returns the key of a crash of the incarnation after one, while it has no record. */
  static String ofNextIncarnation(String backend) {
    return backend + SEPARATOR + NEXT_INCARNATION;
  }

  /** Returns the keys of all crashes of a backend that are known, by number. */
  static List<String> of(String backend, Map<String, CrashInvolvement> crashes) {
    if (!crashes.containsKey(backend)) {
      return List.of();
    }
    List<String> keys = new ArrayList<>(List.of(backend));
    for (int number = 1; crashes.containsKey(backend + SEPARATOR + number); number++) {
      keys.add(backend + SEPARATOR + number);
    }
    return keys;
  }

  /**
   * Returns the keys of all crashes that don't count if a backend lives: its own, and that of the
   * incarnation after it, which then wasn't another one.
   */
  static List<String> allOf(String backend, Map<String, CrashInvolvement> crashes) {
    List<String> keys = new ArrayList<>(of(backend, crashes));
    if (crashes.containsKey(ofNextIncarnation(backend))) {
      keys.add(ofNextIncarnation(backend));
    }
    return keys;
  }

  /**
   * Returns the key of a crash after the latest one that is known, which was taken back; that of
   * the latest one if too many are known.
   *
   * @param crashes crashes that are known, by key
   */
  static String next(String backend, Map<String, CrashInvolvement> crashes) {
    int known = of(backend, crashes).size();
    boolean hasStart = Incarnation.parse(backend).startedAtMillis().isPresent();
    return known > 0 && known < MAX_CRASHES && hasStart
        ? backend + SEPARATOR + known
        : latest(backend, crashes);
  }

  /**
   * Returns the key of the latest crash of a backend, or of its first one if none is known.
   *
   * @param crashes crashes that are known, by key
   */
  static String latest(String backend, Map<String, CrashInvolvement> crashes) {
    List<String> keys = of(backend, crashes);
    return keys.isEmpty() ? backend : keys.get(keys.size() - 1);
  }
}
