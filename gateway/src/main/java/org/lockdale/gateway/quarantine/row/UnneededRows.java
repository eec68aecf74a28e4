package org.lockdale.gateway.quarantine.row;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Finds the rows of the shared store that have not been needed for long enough to be removed. Not
 * safe for use by several threads.
 *
 * @param <K> type of the keys of the rows
 */
public final class UnneededRows<K> {

  /**
   * Delay before a row that is no longer needed is removed; all nodes have read its last state by
   * then.
   */
  private static final long REMOVE_AFTER_MILLIS = 15_000;

  private final Map<K, Long> unneededSince = new HashMap<>();

  /**
   * Returns the keys of the rows to be removed.
   *
   * @param keys keys of all rows
   * @param isNeeded returns whether the row with a key is still needed
   * @param nowMillis monotonic time
   */
  public List<K> due(Collection<K> keys, Predicate<K> isNeeded, long nowMillis) {
    List<K> due = new ArrayList<>();
    unneededSince.keySet().retainAll(keys);
    for (K key : keys) {
      if (isNeeded.test(key)) {
        unneededSince.remove(key);
        continue;
      }
      long since = unneededSince.computeIfAbsent(key, added -> nowMillis);
      if (nowMillis - since >= REMOVE_AFTER_MILLIS) {
        due.add(key);
      }
    }
    return due;
  }
}
