package org.lockdale.http;

import java.util.Arrays;

/**
 * The ids that a connection has carried. Only their hash codes are kept: an id that is taken for
 * another one merely costs a new connection. Confined to the connection's event loop.
 */
final class CarriedIds {

  /** Number of ids after which a connection is not used again. */
  static final int CAPACITY = 1024;

  private static final int INITIAL_LENGTH = 16;

  private int[] hashes = new int[INITIAL_LENGTH];
  private int count;

  /** Records that the connection carries an id. */
  void add(EchoedId id) {
    if (count == hashes.length) {
      hashes = Arrays.copyOf(hashes, 2 * count);
    }
    hashes[count] = id.value().hashCode();
    count++;
  }

  /** Returns whether the connection may have carried an id; if not, it has not. */
  boolean mayContain(EchoedId id) {
    int hash = id.value().hashCode();
    for (int index = 0; index < count; index++) {
      if (hashes[index] == hash) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether no further id is to be recorded. */
  boolean isFull() {
    return count >= CAPACITY;
  }
}
