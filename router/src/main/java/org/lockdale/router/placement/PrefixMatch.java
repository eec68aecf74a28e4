package org.lockdale.router.placement;

import java.util.Arrays;

/**
 * Match of a chain in a {@link PrefixIndex}: how deep it was seen before, and how much of it each
 * engine is likely to hold.
 */
public final class PrefixMatch {

  private static final int INITIAL_ENGINES = 8;

  private long[] engines = new long[INITIAL_ENGINES];
  private int[] depths = new int[INITIAL_ENGINES];
  private int count;
  private int seenDepth;
  private long seenHash;

  PrefixMatch() {}

  void recordSeen(int depth, long hash) {
    seenDepth = depth;
    seenHash = hash;
  }

  void recordHolder(int depth, long engine) {
    for (int index = 0; index < count; index++) {
      if (engines[index] == engine) {
        depths[index] = depth;
        return;
      }
    }
    if (count == engines.length) {
      engines = Arrays.copyOf(engines, count * 2);
      depths = Arrays.copyOf(depths, count * 2);
    }
    engines[count] = engine;
    depths[count] = depth;
    count++;
  }

  /** Returns the number of blocks that an engine is likely to hold, or 0. */
  public int depthAt(long engineIdentity) {
    for (int index = 0; index < count; index++) {
      if (engines[index] == engineIdentity) {
        return depths[index];
      }
    }
    return 0;
  }

  /**
   * Returns the depth of the deepest prefix that was seen before, in blocks, or 0 if there is none.
   */
  public int seenDepth() {
    return seenDepth;
  }

  /** Returns the hash of the deepest prefix that was seen before, or 0 if there is none. */
  public long seenHash() {
    return seenHash;
  }
}
