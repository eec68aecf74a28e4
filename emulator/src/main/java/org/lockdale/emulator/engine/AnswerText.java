package org.lockdale.emulator.engine;

import net.openhft.hashing.LongHashFunction;
import org.lockdale.coordination.placement.Rendezvous;

/**
 * The answer of a stand-in engine, a function of the prompt alone: whoever knows the prompt can
 * tell whether an answer is its own, whole and in order.
 */
public final class AnswerText {

  private static final int TOKEN_LETTERS = 4;
  private static final int ALPHABET = 26;

  private AnswerText() {}

  /** Returns the digest of a prompt. */
  public static long digest(byte[] prompt) {
    return LongHashFunction.xx3().hashBytes(prompt);
  }

  /** Returns one token of the answer to a prompt. */
  public static String tokenAt(long promptDigest, int index) {
    long value = Rendezvous.weight(promptDigest, index + 1L) >>> 1;
    StringBuilder token = new StringBuilder(TOKEN_LETTERS + 1).append(' ');
    for (int letter = 0; letter < TOKEN_LETTERS; letter++) {
      token.append((char) ('a' + value % ALPHABET));
      value /= ALPHABET;
    }
    return token.toString();
  }

  /** Returns the whole answer to a prompt. */
  public static String whole(long promptDigest, int tokens) {
    StringBuilder answer = new StringBuilder();
    for (int index = 0; index < tokens; index++) {
      answer.append(tokenAt(promptDigest, index));
    }
    return answer.toString();
  }
}
