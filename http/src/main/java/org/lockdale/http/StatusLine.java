package org.lockdale.http;

import java.util.regex.Pattern;

/** The first line of a reply by RFC 9112, section 4. */
final class StatusLine {

  /** Versions whose replies are framed as those of HTTP/1.1. */
  private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

  /** Status codes by RFC 9110, section 15. */
  private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

  private static final char DELETE = 0x7f;

  private StatusLine() {}

  /**
   * Checks the parts of a status line.
   *
   * @param version version of the protocol
   * @param status status code, as it was sent
   * @param reason reason phrase; empty if there is none
   * @throws InvalidReplyException if no reply may have such a part
   */
  static void check(String version, String status, String reason) {
    if (!VERSION.matcher(version).matches()) {
      throw new InvalidReplyException("its protocol is not HTTP/1", version);
    }
    if (!STATUS.matcher(status).matches()) {
      throw new InvalidReplyException("its status is not between 100 and 599", status);
    }
    if (reason.chars().anyMatch(StatusLine::isControl)) {
      throw new InvalidReplyException("its reason phrase has a control byte", reason);
    }
  }

  private static boolean isControl(int character) {
    return character < ' ' && character != '\t' || character == DELETE;
  }
}
