package org.lockdale.gateway.cache;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import net.openhft.hashing.LongHashFunction;

/**
 * Parts of prompts that one holder, an engine or a store, is known or expected to keep. Its
 * follower records the parts that the holder reports; the request path adds parts that it expects
 * there soon. Safe for use by several threads.
 */
public final class HeldParts {

  /**
   * Time in milliseconds after which an expectation is dropped if the holder has not confirmed it.
   */
  private static final long EXPECTATION_MILLIS = 1_500;

  /** Maximum number of expectations; further ones are discarded. */
  private static final int MAX_EXPECTATIONS = 4_096;

  private final Map<Long, Boolean> confirmed = new ConcurrentHashMap<>();
  private final Map<Long, Long> expectedUntilMillis = new ConcurrentHashMap<>();
  private volatile boolean available;
  private volatile boolean unresponsive;

  /** Returns the key of a part within a namespace. */
  public static long keyOf(String namespace, String part) {
    long seed = LongHashFunction.xx3().hashChars(namespace);
    return LongHashFunction.xx3(seed).hashChars(part);
  }

  /** Returns whether the holder responded when it was last polled. */
  public boolean isAvailable() {
    return available;
  }

  /**
   * Returns whether the holder failed to respond when it was last polled, or is no longer followed.
   * A holder that has not been polled yet is neither available nor unresponsive.
   */
  public boolean isUnresponsive() {
    return unresponsive;
  }

  /** Returns whether a part is confirmed or expected to be there. */
  public boolean contains(long key, long nowMillis) {
    if (confirmed.containsKey(key)) {
      return true;
    }
    Long until = expectedUntilMillis.get(key);
    return until != null && nowMillis < until;
  }

  /** Returns whether the holder itself has reported that it keeps a part. */
  public boolean isConfirmed(long key) {
    return confirmed.containsKey(key);
  }

  /**
   * Records that a part will be there soon, though the holder has not reported it yet.
   *
   * @param key key of the part
   * @param nowMillis monotonic time in milliseconds
   * @return whether the part was neither confirmed nor expected
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
      confirmed.put(key, Boolean.TRUE);
    } else {
      confirmed.remove(key);
    }
  }

  void clear() {
    confirmed.clear();
    expectedUntilMillis.clear();
  }

  void setAvailable(boolean nowAvailable) {
    available = nowAvailable;
    unresponsive = !nowAvailable;
  }
}
