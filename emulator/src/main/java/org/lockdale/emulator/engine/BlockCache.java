package org.lockdale.emulator.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.placement.PrefixChain;

/** A cache of prefix blocks that evicts the least recently used ones first. */
final class BlockCache {

  private final int capacity;
  private final CacheEventLog events;
  private final BlockHolderCounts holderCounts;
  private final LinkedHashMap<Long, String> ownerByBlock = new LinkedHashMap<>(16, 0.75f, true);
  private long foreignReuses;

  BlockCache(int capacity, CacheEventLog events, BlockHolderCounts holderCounts) {
    this.capacity = capacity;
    this.events = events;
    this.holderCounts = holderCounts;
  }

  /**
   * Returns the number of leading blocks of a chain that are held, and marks them as used. Blocks
   * stored by another owner are counted as foreign reuses.
   */
  int useHeldPrefix(PrefixChain chain, String owner) {
    int matched = 0;
    while (matched < chain.length()) {
      String blockOwner = ownerByBlock.get(chain.hashAt(matched));
      if (blockOwner == null) {
        return matched;
      }
      if (!blockOwner.equals(owner)) {
        foreignReuses++;
      }
      matched++;
    }
    return matched;
  }

  /**
   * Returns the number of leading blocks of a chain that are held, without marking them as used.
   */
  int heldPrefixLength(PrefixChain chain) {
    int matched = 0;
    while (matched < chain.length() && ownerByBlock.containsKey(chain.hashAt(matched))) {
      matched++;
    }
    return matched;
  }

  void insert(PrefixChain chain, String owner) {
    // Inserts the deepest block first, so that the start of the chain, which other prompts share,
    // is evicted last.
    for (int block = chain.length() - 1; block >= 0; block--) {
      insertBlock(chain.hashAt(block), owner);
    }
  }

  void insertBlock(long hash, String owner) {
    if (ownerByBlock.put(hash, owner) == null) {
      events.stored(hash);
      holderCounts.stored(hash);
    }
    Iterator<Map.Entry<Long, String>> oldest = ownerByBlock.entrySet().iterator();
    while (ownerByBlock.size() > capacity) {
      long evicted = oldest.next().getKey();
      oldest.remove();
      events.evicted(evicted);
      holderCounts.evicted(evicted);
    }
  }

  /** Removes all blocks without publishing events, as the end of the process does. */
  void clear() {
    for (long hash : ownerByBlock.keySet()) {
      holderCounts.evicted(hash);
    }
    ownerByBlock.clear();
  }

  /** Returns the owner that last stored a block, or null if the block is not held. */
  @Nullable String ownerOf(long hash) {
    return ownerByBlock.get(hash);
  }

  int size() {
    return ownerByBlock.size();
  }

  /** Returns how many times a block was reused for an owner other than the one that stored it. */
  long foreignReuses() {
    return foreignReuses;
  }
}
