package org.lockdale.router.peer;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Puts a message authentication code (HMAC-SHA-256, RFC 2104, cut to 16 bytes) in front of messages
 * and checks it, so that only holders of the shared key are heard. Not safe for use by several
 * threads.
 */
public final class MessageAuthenticator {

  /** Bytes that a code adds to a message. */
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

  /** Returns a message with its code in front. */
  public byte[] seal(byte[] message) {
    byte[] code = mac.doFinal(message);
    byte[] sealed = new byte[CODE_BYTES + message.length];
    System.arraycopy(code, 0, sealed, 0, CODE_BYTES);
    System.arraycopy(message, 0, sealed, CODE_BYTES, message.length);
    return sealed;
  }

  /** Returns the message of a sealed one, or empty where the code is wrong. */
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
