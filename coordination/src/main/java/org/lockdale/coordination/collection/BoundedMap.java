package org.lockdale.coordination.collection;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map with a maximum size that evicts its oldest entry when the size is exceeded. */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {

  private static final long serialVersionUID = 1L;

  private final int maxEntries;

  /** Creates an empty map that holds at most {@code maxEntries} entries. */
  public BoundedMap(int maxEntries) {
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
