package org.lockdale.coordination.table;

/**
 * A version that a store has given out. A store may come back from a copy some seconds old; its
 * versions then go back and are given out again for other changes, and its era rises by one. So
 * versions are compared by their eras first.
 *
 * <p>Inside the project a version is carried as one number, its {@link #packed} form, which has the
 * same order. It fits into messages and fencing tokens as they are, rises over eras, and is the
 * store's own number while the store has never come back from a copy.
 *
 * @param era how often the store had come back from a copy when it gave the version out
 * @param number the store's own number
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {

  private static final int NUMBER_BITS = 40;

  /** A store with 1,200 writes a second reaches it in 29 years. */
  public static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;

  /** Both together stay below 2^53, so that a fencing token is exact as a JSON number. */
  public static final long MAX_ERA = (1L << 12) - 1;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if one is left
   */
  public StoreVersion {
    if (era < 0 || era > MAX_ERA || number < 0 || number > MAX_NUMBER) {
      throw new IllegalArgumentException(
          "version " + number + " of era " + era + " is out of range");
    }
  }

  /**
   * Returns the version of a packed form.
   *
   * @throws IllegalArgumentException if it is negative or no packed form
   */
  public static StoreVersion ofPacked(long packed) {
    return new StoreVersion(packed >> NUMBER_BITS, packed & MAX_NUMBER);
  }

  /** Returns both as one number, in the same order. */
  public long packed() {
    return era << NUMBER_BITS | number;
  }

  @Override
  public int compareTo(StoreVersion other) {
    return Long.compare(packed(), other.packed());
  }
}
