package org.lockdale.gateway.cache;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import net.openhft.hashing.LongHashFunction;

/**
 * Parts of prompts that one holder, an engine or a store, is believed to keep. Its follower writes
 * what the holder tells; the request path adds what it expects there soon. Safe for use by several
 * threads.
 */
public final class HeldParts {

  /** An expectation that the holder has not confirmed by then is given up. */
  private static final long EXPECTATION_MILLIS = 1_500;

  /** Expectations beyond this number are not kept. */
  private static final int MAX_EXPECTATIONS = 4_096;

  private final Map<Long, Boolean> told = new ConcurrentHashMap<>();
  private final Map<Long, Long> expectedUntilMillis = new ConcurrentHashMap<>();
  private volatile boolean available;
  private volatile boolean silent;

  /** Returns the key of a part within a namespace. */
  public static long keyOf(String namespace, String part) {
    long seed = LongHashFunction.xx3().hashChars(namespace);
    return LongHashFunction.xx3(seed).hashChars(part);
  }

  /** Returns whether the holder answers at present. */
  public boolean isAvailable() {
    return available;
  }

  /** Returns whether the holder did not answer when it was last asked. */
  public boolean isSilent() {
    return silent;
  }

  /** Returns whether a part is believed to be there. */
  public boolean contains(long key, long nowMillis) {
    if (told.containsKey(key)) {
      return true;
    }
    Long until = expectedUntilMillis.get(key);
    return until != null && nowMillis < until;
  }

  /** Returns whether the holder itself has told that a part is there. */
  public boolean isConfirmed(long key) {
    return told.containsKey(key);
  }

  /**
   * Notes that a part will be there, though the holder has not told so yet.
   *
   * @return whether it was neither there nor expected
   */
  public boolean expect(long key, long nowMillis) {
    if (contains(key, nowMillis)) {
      return false;
    }
    if (expectedUntilMillis.size() >= MAX_EXPECTATIONS) {
      expectedUntilMillis.values().removeIf(until -> until <= nowMillis);
    }
    if (expectedUntilMillis.size() < MAX_EXPECTATIONS) {
      expectedUntilMillis.put(key, nowMillis + EXPECTATION_MILLIS);
    }
    return true;
  }

  void apply(CacheEvent event) {
    long key = keyOf(event.namespace(), event.part());
    if (event.added()) {
      told.put(key, Boolean.TRUE);
    } else {
      told.remove(key);
    }
  }

  void clear() {
    told.clear();
    expectedUntilMillis.clear();
  }

  void setAvailable(boolean nowAvailable) {
    available = nowAvailable;
    silent = !nowAvailable;
  }
}
