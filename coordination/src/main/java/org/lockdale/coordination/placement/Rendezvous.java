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

  /**
   * Returns the score of a candidate for a key in weighted rendezvous hashing. The candidate with
   * the highest score is the first choice, for a share of the keys in proportion to its capacity. A
   * change of one capacity moves keys only to or from that candidate.
   *
   * @param capacity positive number to which the candidate's share of the keys is proportional
   */
  public static double weightedScore(long key, long candidateIdentity, double capacity) {
    // The upper 53 bits, the precision of a double, give a number above 0 and below 1.
    double uniform = ((weight(key, candidateIdentity) >>> 11) + 0.5) * 0x1.0p-53;
    return -capacity / Math.log(uniform);
  }
}
