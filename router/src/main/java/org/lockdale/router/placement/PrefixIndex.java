package org.lockdale.router.placement;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.lockdale.coordination.placement.PrefixChain;

/**
 * Index of the engines that are likely to hold prefixes, from the requests that they completed for
 * this node. Entries are estimates: they guide placement, but nothing may rely on them. The index
 * is bounded and holds only some depths of a chain; entries expire, since engines evict within
 * seconds. Safe for use by several threads: striped by hash.
 */
public final class PrefixIndex {

  private static final int STRIPES = 16;
  private static final int DENSE_DEPTH = 8;
  private static final int MIDDLE_DEPTH = 64;
  private static final int MIDDLE_STEP = 4;
  private static final int SPARSE_STEP = 16;
  private static final int MAX_HOLDERS = 4;

  private final Stripe[] stripes = new Stripe[STRIPES];
  private final long lifetimeMillis;

  /**
   * Creates an empty index.
   *
   * @param capacity maximum number of prefixes
   * @param lifetimeMillis time after which a holder that was not confirmed is ignored, in
   *     milliseconds
   */
  public PrefixIndex(int capacity, long lifetimeMillis) {
    this.lifetimeMillis = lifetimeMillis;
    for (int index = 0; index < STRIPES; index++) {
      stripes[index] = new Stripe(capacity / STRIPES);
    }
  }

  /** Returns whether the index holds prefixes of a depth, counted in blocks from 1. */
  static boolean isAnchor(int depth) {
    if (depth <= DENSE_DEPTH) {
      return true;
    }
    return depth <= MIDDLE_DEPTH ? depth % MIDDLE_STEP == 0 : depth % SPARSE_STEP == 0;
  }

  /** Records that an engine holds all blocks of a chain, as it does after a prefill. */
  public void recordStored(PrefixChain chain, long engineIdentity, long nowMillis) {
    for (int depth = 1; depth <= chain.length(); depth++) {
      if (isAnchor(depth)) {
        long hash = chain.hashAt(depth - 1);
        stripeOf(hash).add(hash, engineIdentity, nowMillis);
      }
    }
  }

  /**
   * Looks up a chain.
   *
   * @return the depth up to which the chain is in the index, and its holders that have not expired
   */
  public PrefixMatch match(PrefixChain chain, long nowMillis) {
    PrefixMatch match = new PrefixMatch();
    for (int depth = 1; depth <= chain.length(); depth++) {
      if (!isAnchor(depth)) {
        continue;
      }
      long hash = chain.hashAt(depth - 1);
      if (!stripeOf(hash).collect(hash, depth, nowMillis - lifetimeMillis, match)) {
        break;
      }
    }
    return match;
  }

  /** Returns the number of prefixes in the index. */
  public int size() {
    int total = 0;
    for (Stripe stripe : stripes) {
      total += stripe.size();
    }
    return total;
  }

  private Stripe stripeOf(long hash) {
    return stripes[(int) (hash & STRIPES - 1)];
  }

  private static final class Holders {
    final long[] engines = new long[MAX_HOLDERS];
    final long[] confirmedAt = new long[MAX_HOLDERS];

    Holders() {
      Arrays.fill(confirmedAt, Long.MIN_VALUE);
    }

    void add(long engine, long nowMillis) {
      int slot = 0;
      for (int index = 0; index < MAX_HOLDERS; index++) {
        boolean known = confirmedAt[index] != Long.MIN_VALUE && engines[index] == engine;
        if (known) {
          slot = index;
          break;
        }
        if (confirmedAt[index] < confirmedAt[slot]) {
          slot = index;
        }
      }
      engines[slot] = engine;
      confirmedAt[slot] = nowMillis;
    }
  }

  private static final class Stripe {
    private final Map<Long, Holders> holders;

    Stripe(int capacity) {
      holders =
          new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Holders> eldest) {
              return size() > capacity;
            }
          };
    }

    synchronized void add(long hash, long engine, long nowMillis) {
      holders.computeIfAbsent(hash, absent -> new Holders()).add(engine, nowMillis);
    }

    synchronized boolean collect(long hash, int depth, long oldestMillis, PrefixMatch match) {
      Holders found = holders.get(hash);
      if (found == null) {
        return false;
      }
      match.recordSeen(depth, hash);
      for (int index = 0; index < MAX_HOLDERS; index++) {
        if (found.confirmedAt[index] != Long.MIN_VALUE
            && found.confirmedAt[index] >= oldestMillis) {
          match.recordHolder(depth, found.engines[index]);
        }
      }
      return true;
    }

    synchronized int size() {
      return holders.size();
    }
  }
}
