package org.lockdale.http;

import org.jspecify.annotations.Nullable;

/**
 * The ids that a connection has carried lately. Only their hash codes are kept: an id that is taken
 * for another one merely costs a new connection. Confined to the connection's event loop.
 */
final class RecentIds {

  /**
   * Number of ids that are kept. A peer replies to one request at a time, so between two sends of
   * an id for which a late reply is still to come there are few others.
   */
  static final int CAPACITY = 256;

  private int @Nullable [] hashes;
  private int count;

  /** Records that the connection carries an id. */
  void add(EchoedId id) {
    int[] kept = hashes;
    if (kept == null) {
      kept = new int[CAPACITY];
      hashes = kept;
    }
    kept[count % CAPACITY] = id.value().hashCode();
    count++;
  }

  /** Returns whether the connection may have carried an id; false if it has not lately. */
  boolean mayContain(EchoedId id) {
    int[] kept = hashes;
    if (kept == null) {
      return false;
    }
    int hash = id.value().hashCode();
    for (int index = 0; index < Math.min(count, CAPACITY); index++) {
      if (kept[index] == hash) {
        return true;
      }
    }
    return false;
  }
}
