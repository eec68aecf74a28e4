package org.lockdale.emulator.engine;

import net.openhft.hashing.LongHashFunction;
import org.lockdale.coordination.placement.Rendezvous;

/**
 * The response text of an emulated engine. It depends on the prompt alone, so that whoever knows
 * the prompt can verify that a response belongs to it, is complete and is in order.
 */
public final class ResponseText {

  private static final int TOKEN_LETTERS = 4;
  private static final int ALPHABET = 26;

  private ResponseText() {}

  /** Returns the digest of a prompt. */
  public static long digest(byte[] prompt) {
    return LongHashFunction.xx3().hashBytes(prompt);
  }

  /** Returns the token of the response to a prompt at an index, counted from 0. */
  public static String tokenAt(long promptDigest, int index) {
    long value = Rendezvous.weight(promptDigest, index + 1L) >>> 1;
    StringBuilder token = new StringBuilder(TOKEN_LETTERS + 1).append(' ');
    for (int letter = 0; letter < TOKEN_LETTERS; letter++) {
      token.append((char) ('a' + value % ALPHABET));
      value /= ALPHABET;
    }
    return token.toString();
  }

  /** Returns the complete response to a prompt. */
  public static String completeText(long promptDigest, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < tokens; index++) {
      text.append(tokenAt(promptDigest, index));
    }
    return text.toString();
  }
}
