package org.lockdale.emulator.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.placement.PrefixChain;

/** Prefix blocks held by an engine; the least recently used ones go first. */
final class BlockCache {

  private final int capacity;
  private final CacheEventLog events;
  private final CacheCensus census;
  private final LinkedHashMap<Long, String> ownerByBlock = new LinkedHashMap<>(16, 0.75f, true);
  private long foreignReuses;

  BlockCache(int capacity, CacheEventLog events, CacheCensus census) {
    this.capacity = capacity;
    this.events = events;
    this.census = census;
  }

  /** Returns the number of leading blocks that are held, and marks them as used. */
  int match(PrefixChain chain, String owner) {
    int matched = 0;
    while (matched < chain.length()) {
      String holder = ownerByBlock.get(chain.hashAt(matched));
      if (holder == null) {
        return matched;
      }
      if (!holder.equals(owner)) {
        foreignReuses++;
      }
      matched++;
    }
    return matched;
  }

  /** Returns the number of leading blocks that are held, without marking them. */
  int peek(PrefixChain chain) {
    int matched = 0;
    while (matched < chain.length() && ownerByBlock.containsKey(chain.hashAt(matched))) {
      matched++;
    }
    return matched;
  }

  void insert(PrefixChain chain, String owner) {
    // The deepest block first, so that the shared front of the chain is the last to be evicted.
    for (int block = chain.length() - 1; block >= 0; block--) {
      insertBlock(chain.hashAt(block), owner);
    }
  }

  void insertBlock(long hash, String owner) {
    if (ownerByBlock.put(hash, owner) == null) {
      events.stored(hash);
      census.stored(hash);
    }
    Iterator<Map.Entry<Long, String>> oldest = ownerByBlock.entrySet().iterator();
    while (ownerByBlock.size() > capacity) {
      long evicted = oldest.next().getKey();
      oldest.remove();
      events.evicted(evicted);
      census.evicted(evicted);
    }
  }

  /** Drops all blocks, as the end of the process does. */
  void clear() {
    for (long hash : ownerByBlock.keySet()) {
      census.evicted(hash);
    }
    ownerByBlock.clear();
  }

  @Nullable String ownerOf(long hash) {
    return ownerByBlock.get(hash);
  }

  int size() {
    return ownerByBlock.size();
  }

  /** Returns how many blocks were reused for another owner than the one that stored them. */
  long foreignReuses() {
    return foreignReuses;
  }
}
