package org.lockdale.gateway.cache;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keys noted within a recent time, the oldest dropped first where there are too many. Safe for use
 * by several threads.
 */
final class RecentSet {

  private final long lifetimeMillis;
  private final Map<Long, Long> notedAtMillis;

  RecentSet(int capacity, long lifetimeMillis) {
    this.lifetimeMillis = lifetimeMillis;
    this.notedAtMillis =
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
            return size() > capacity;
          }
        };
  }

  /** Notes a key; returns whether it was not there. */
  synchronized boolean add(long key, long nowMillis) {
    Long before = notedAtMillis.remove(key);
    notedAtMillis.put(key, nowMillis);
    return before == null || nowMillis - before >= lifetimeMillis;
  }

  synchronized boolean contains(long key, long nowMillis) {
    Long notedAt = notedAtMillis.get(key);
    return notedAt != null && nowMillis - notedAt < lifetimeMillis;
  }
}
