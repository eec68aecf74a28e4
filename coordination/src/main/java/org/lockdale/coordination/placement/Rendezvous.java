package org.lockdale.coordination.placement;

import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing: every node that knows the same candidates ranks them alike for a key, without
 * a message, and a candidate that goes takes only its own keys with it.
 */
public final class Rendezvous {

  private static final LongHashFunction HASH = LongHashFunction.xx3();

  /** Weyl constant of splitmix64. */
  private static final long WEYL_INCREMENT = 0x9E3779B97F4A7C15L;

  private static final long FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9L;
  private static final long SECOND_MULTIPLIER = 0x94D049BB133111EBL;

  private Rendezvous() {}

  /** Returns a candidate's identity hash, to be computed once and kept. */
  public static long identityOf(String candidate) {
    return HASH.hashChars(candidate);
  }

  /**
   * Returns the weight of a candidate for a key; the highest unsigned weight is the first choice.
   * The mix is the finalizer of splitmix64, which needs no memory and a few nanoseconds.
   */
  public static long weight(long key, long candidateIdentity) {
    long mixed = key + candidateIdentity * WEYL_INCREMENT;
    mixed = (mixed ^ mixed >>> 30) * FIRST_MULTIPLIER;
    mixed = (mixed ^ mixed >>> 27) * SECOND_MULTIPLIER;
    return mixed ^ mixed >>> 31;
  }
}
