package org.lockdale.http;

/** Thrown when a part of a reply has no valid form. Its message is safe to log and to pass on. */
final class InvalidReplyException extends IllegalArgumentException {

  private static final long serialVersionUID = 1L;

  /** Characters of a peer's text in a message. */
  private static final int MAX_QUOTED = 40;

  /**
   * Creates an exception.
   *
   * @param problem what is wrong
   * @param text the invalid text as the peer has sent it, of any length and with any characters
   */
  InvalidReplyException(String problem, String text) {
    super(problem + ": '" + printable(text) + "'");
  }

  /** Returns the start of a text with a question mark for each character outside of ASCII. */
  private static String printable(String text) {
    String start = text.substring(0, Math.min(text.length(), MAX_QUOTED));
    String suffix = text.length() > MAX_QUOTED ? "..." : "";
    return start.replaceAll("[^ -~]", "?") + suffix;
  }
}
