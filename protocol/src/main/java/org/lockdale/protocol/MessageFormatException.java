package org.lockdale.protocol;

/** Thrown if bytes are not a valid message of a known schema. */
public final class MessageFormatException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  MessageFormatException(String reason) {
    super(
        reason
            + "; check that only lockdale nodes send to this port and that their versions are at"
            + " most one release apart.");
  }

  static MessageFormatException unknownSchema(long fingerprint) {
    return new MessageFormatException(
        "the message has the unknown schema " + Long.toHexString(fingerprint));
  }
}
