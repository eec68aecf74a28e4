package org.lockdale.coordination.placement;

import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing: all nodes that know the same candidates rank them identically for a key
 * without exchanging messages, and the removal of a candidate reassigns only its own keys.
 */
public final class Rendezvous {

  private static final LongHashFunction HASH = LongHashFunction.xx3();

  /** Weyl constant of splitmix64. */
  private static final long WEYL_INCREMENT = 0x9E3779B97F4A7C15L;

  private static final long FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9L;
  private static final long SECOND_MULTIPLIER = 0x94D049BB133111EBL;

  private Rendezvous() {}

  /** Returns the identity hash of a candidate; callers should compute it once and cache it. */
  public static long identityOf(String candidate) {
    return HASH.hashChars(candidate);
  }

  /**
   * Returns the weight of a candidate for a key. The candidate with the highest unsigned weight is
   * the first choice. Uses the finalizer of splitmix64, which allocates nothing and takes a few
   * nanoseconds.
   */
  public static long weight(long key, long candidateIdentity) {
    long mixed = key + candidateIdentity * WEYL_INCREMENT;
    mixed = (mixed ^ mixed >>> 30) * FIRST_MULTIPLIER;
    mixed = (mixed ^ mixed >>> 27) * SECOND_MULTIPLIER;
    return mixed ^ mixed >>> 31;
  }
}
