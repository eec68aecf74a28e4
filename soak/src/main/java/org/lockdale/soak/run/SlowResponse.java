package org.lockdale.soak.run;

import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.lockdale.soak.standin.HeaderNames;

/**
 * A response that was read as a whole until its connection ended.
 *
 * @param status HTTP status
 * @param signature value of the signature header; null if there is none
 * @param body decoded body without comments
 * @param complete whether it has its end marker or its whole length
 */
record SlowResponse(int status, @Nullable String signature, String body, boolean complete) {

  private static final String LINE_END = "\r\n";
  private static final int HEXADECIMAL = 16;
  private static final Pattern COMMENT = Pattern.compile("^: \\.*+\n?", Pattern.MULTILINE);

  /** Parses the bytes of a connection; null if they have no complete head. */
  static @Nullable SlowResponse parse(String text) {
    int headEnd = text.indexOf(LINE_END + LINE_END);
    if (headEnd < 0) {
      return null;
    }
    String head = text.substring(0, headEnd);
    String rest = text.substring(headEnd + 2 * LINE_END.length());
    int status = Integer.parseInt(head.split(" ")[1]);
    String signature = header(head, HeaderNames.SIGNATURE);
    if (header(head, "transfer-encoding") == null) {
      String length = header(head, "content-length");
      boolean whole = length != null && rest.length() == Integer.parseInt(length);
      return new SlowResponse(status, signature, rest, whole);
    }
    StringBuilder body = new StringBuilder();
    int at = 0;
    while (true) {
      int lineEnd = rest.indexOf(LINE_END, at);
      if (lineEnd < 0) {
        return new SlowResponse(status, signature, withoutComments(body), false);
      }
      int length = Integer.parseInt(rest.substring(at, lineEnd), HEXADECIMAL);
      int start = lineEnd + LINE_END.length();
      if (length == 0) {
        return new SlowResponse(status, signature, withoutComments(body), true);
      }
      body.append(rest, start, Math.min(rest.length(), start + length));
      at = Math.min(rest.length(), start + length + LINE_END.length());
    }
  }

  private static @Nullable String header(String head, String name) {
    for (String line : head.split(LINE_END)) {
      int colon = line.indexOf(':');
      if (colon > 0 && line.substring(0, colon).equalsIgnoreCase(name)) {
        return line.substring(colon + 1).trim();
      }
    }
    return null;
  }

  private static String withoutComments(CharSequence body) {
    return COMMENT.matcher(body).replaceAll("");
  }
}
