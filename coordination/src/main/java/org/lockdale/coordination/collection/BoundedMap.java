package org.lockdale.coordination.collection;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that drops its oldest entry when it grows over a bound. */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

  private static final long serialVersionUID = 1L;

  private final int maxEntries;

  /** Creates an empty map that holds at most a number of entries. */
  public BoundedMap(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
