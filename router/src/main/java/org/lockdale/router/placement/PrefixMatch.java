package org.lockdale.router.placement;

import java.util.Arrays;

/** What is believed of one chain: how deep it was seen before, and which engines hold how much. */
public final class PrefixMatch {

  private static final int INITIAL_ENGINES = 8;

  private long[] engines = new long[INITIAL_ENGINES];
  private int[] depths = new int[INITIAL_ENGINES];
  private int count;
  private int seenDepth;
  private long seenHash;

  PrefixMatch() {}

  void seen(int depth, long hash) {
    seenDepth = depth;
    seenHash = hash;
  }

  void held(int depth, long engine) {
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

  /** Returns how many blocks an engine is believed to hold. */
  public int depthAt(long engineIdentity) {
    for (int index = 0; index < count; index++) {
      if (engines[index] == engineIdentity) {
        return depths[index];
      }
    }
    return 0;
  }

  /** Returns the deepest prefix that this node saw before, in blocks; 0 for none. */
  public int seenDepth() {
    return seenDepth;
  }

  /** Returns the hash of the deepest prefix that this node saw before. */
  public long seenHash() {
    return seenHash;
  }
}
