package org.lockdale.emulator.engine;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.lockdale.coordination.placement.PrefixChain;

/**
 * Counts how many engines of this process hold each prefix block, without the delay and loss of
 * cache events. Serves as the reference for avoidable recomputation, that is, of blocks that
 * another engine held. Safe for use by several threads.
 */
public final class BlockHolderCounts {

  private final Map<Long, Integer> holders = new ConcurrentHashMap<>();

  void stored(long hash) {
    holders.merge(hash, 1, Integer::sum);
  }

  void evicted(long hash) {
    holders.computeIfPresent(hash, (key, count) -> count == 1 ? null : count - 1);
  }

  /** Returns the number of leading blocks of a chain that are each held by at least one engine. */
  public int heldPrefixLength(PrefixChain chain) {
    int depth = 0;
    while (depth < chain.length() && holders.containsKey(chain.hashAt(depth))) {
      depth++;
    }
    return depth;
  }
}
