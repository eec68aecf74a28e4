package org.lockdale.router.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Prepends a message authentication code (HMAC-SHA-256, RFC 2104, truncated to 16 bytes) to
 * messages and verifies it, so that only messages from holders of the shared key are accepted. Not
 * safe for use by several threads.
 */
public final class MessageAuthenticator {

  /** Length of the code in bytes. */
  public static final int CODE_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  private final Mac mac;

  /** Creates an authenticator with a shared key. */
  public MessageAuthenticator(String sharedKey) {
    try {
      mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(sharedKey.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    } catch (GeneralSecurityException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Returns a message with its code prepended. */
  public byte[] seal(byte[] message) {
    byte[] code = mac.doFinal(message);
    byte[] sealed = new byte[CODE_BYTES + message.length];
    System.arraycopy(code, 0, sealed, 0, CODE_BYTES);
    System.arraycopy(message, 0, sealed, CODE_BYTES, message.length);
    return sealed;
  }

  /** Returns the message without its code, or empty if the code is wrong or missing. */
  public Optional<byte[]> open(byte[] sealed) {
    if (sealed.length < CODE_BYTES) {
      return Optional.empty();
    }
    byte[] message = Arrays.copyOfRange(sealed, CODE_BYTES, sealed.length);
    byte[] expected = Arrays.copyOf(mac.doFinal(message), CODE_BYTES);
    byte[] given = Arrays.copyOf(sealed, CODE_BYTES);
    return MessageDigest.isEqual(expected, given) ? Optional.of(message) : Optional.empty();
  }
}
