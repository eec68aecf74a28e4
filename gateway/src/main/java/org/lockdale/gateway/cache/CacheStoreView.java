package org.lockdale.gateway.cache;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import net.openhft.hashing.LongHashFunction;

/**
 * What the store of cached prompts is believed to keep. One follower writes it and the request path
 * reads it. Safe for use by several threads.
 */
public final class CacheStoreView {

  private final Map<Long, Boolean> kept = new ConcurrentHashMap<>();
  private volatile boolean available;

  /** Returns whether the store answers at present. */
  public boolean isAvailable() {
    return available;
  }

  /** Returns whether the store keeps a part. */
  public boolean keeps(String namespace, String part) {
    return available && kept.containsKey(keyOf(namespace, part));
  }

  void apply(CacheEvent event) {
    long key = keyOf(event.namespace(), event.part());
    if (event.added()) {
      kept.put(key, Boolean.TRUE);
    } else {
      kept.remove(key);
    }
  }

  void clear() {
    kept.clear();
  }

  void setAvailable(boolean nowAvailable) {
    available = nowAvailable;
  }

  private static long keyOf(String namespace, String part) {
    long seed = LongHashFunction.xx3().hashChars(namespace);
    return LongHashFunction.xx3(seed).hashChars(part);
  }
}
