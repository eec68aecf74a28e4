package org.lockdale.gateway.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * SHA-256 digests of texts, so that nobody can construct other texts with the same digest. This
 * needs no key that all nodes would have to share.
 */
public final class TextDigest {

  private TextDigest() {}

  /** Returns the digest of some texts and of bytes that follow them. */
  public static ByteBuffer of(byte[] bytes, String... texts) {
    MessageDigest digest = sha256();
    for (String text : texts) {
      byte[] encoded = text.getBytes(StandardCharsets.UTF_8);
      // The length prefix ensures that no two lists of texts give the same bytes.
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(encoded.length).flip());
      digest.update(encoded);
    }
    return ByteBuffer.wrap(digest.digest(bytes));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("every Java platform supports SHA-256", impossible);
    }
  }
}
