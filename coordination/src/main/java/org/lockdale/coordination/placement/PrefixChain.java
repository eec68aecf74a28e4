package org.lockdale.coordination.placement;

import net.openhft.hashing.LongHashFunction;

/**
 * The chain of block hashes of a prompt. Hash {@code i} covers the scope and all bytes up to the
 * end of block {@code i}, so equal hashes mean equal prefixes in the same scope. A partial block at
 * the end is ignored, since engines cache only complete blocks.
 */
public final class PrefixChain {

  /** Size of a block of prompt text in bytes: 64 tokens at four bytes per token. */
  public static final int BLOCK_BYTES = 256;

  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private static final int HASHED_PAIR = 2;

  private final long[] hashes;

  private PrefixChain(long[] hashes) {
    this.hashes = hashes;
  }

  /**
   * Hashes a prompt.
   *
   * @param scope scope in which blocks may be shared; the same prompt has other hashes in another
   *     scope
   * @param prompt prompt text in UTF-8
   */
  public static PrefixChain of(CacheScope scope, byte[] prompt) {
    int blocks = prompt.length / BLOCK_BYTES;
    long[] hashes = new long[blocks];
    long parent = scope.hash();
    long[] pair = new long[HASHED_PAIR];
    for (int block = 0; block < blocks; block++) {
      pair[0] = parent;
      pair[1] = HASH.hashBytes(prompt, block * BLOCK_BYTES, BLOCK_BYTES);
      parent = HASH.hashLongs(pair);
      hashes[block] = parent;
    }
    return new PrefixChain(hashes);
  }

  /** Returns the number of complete blocks. */
  public int length() {
    return hashes.length;
  }

  /**
   * Returns the hash of the prefix that ends with a block.
   *
   * @param block index of the block, from 0
   */
  public long hashAt(int block) {
    return hashes[block];
  }
}
