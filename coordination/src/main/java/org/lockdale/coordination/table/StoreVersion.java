package org.lockdale.coordination.table;

/**
 * A version of a change in a store. If a store is restored from a copy that is some seconds old, it
 * assigns version numbers again that it had already assigned to other changes. Each restore starts
 * a new era, the generation of the store's history, so versions are ordered by era first and by
 * number second.
 *
 * <p>Other classes use the {@link #packed} form, a single number with the same order. It can be
 * used as a number in messages and as a fencing token, increases across eras, and equals the
 * store's number as long as the store has never been restored.
 *
 * @param era number of restores of the store before it assigned the version, from 0 to {@link
 *     #MAX_ERA}
 * @param number number assigned by the store, from 0 to {@link #MAX_NUMBER}
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {

  private static final int NUMBER_BITS = 40;

  /** Maximum number; a store with 1,200 writes per second reaches it after 29 years. */
  public static final long MAX_NUMBER = (1L << NUMBER_BITS) - 1;

  /**
   * Maximum era. A packed version is below 2^53, so a fencing token can be represented exactly as a
   * JSON number.
   */
  public static final long MAX_ERA = (1L << 12) - 1;

  /**
   * Creates a version.
   *
   * @throws IllegalArgumentException if the era or the number is out of range
   */
  public StoreVersion {
    if (era < 0 || era > MAX_ERA || number < 0 || number > MAX_NUMBER) {
      throw new IllegalArgumentException(
          "version " + number + " of era " + era + " is out of range");
    }
  }

  /**
   * Returns the version for a packed form.
   *
   * @throws IllegalArgumentException if the value is not a packed form, for example negative
   */
  public static StoreVersion ofPacked(long packed) {
    return new StoreVersion(packed >> NUMBER_BITS, packed & MAX_NUMBER);
  }

  /** Returns era and number as one number that has the same order as versions. */
  public long packed() {
    return era << NUMBER_BITS | number;
  }

  @Override
  public int compareTo(StoreVersion other) {
    return Long.compare(packed(), other.packed());
  }
}
