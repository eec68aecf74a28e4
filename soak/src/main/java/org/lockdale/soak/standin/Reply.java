package org.lockdale.soak.standin;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A reply of a stand-in.
 *
 * @param id id of the request, or null or empty for a call without one
 * @param headers further lines of the head
 */
record Reply(int status, @Nullable String id, String body, List<String> headers) {

  Reply {
    headers = List.copyOf(headers);
  }

  static Reply of(int status, @Nullable String id, String body, String... headers) {
    return new Reply(status, id, body, List.of(headers));
  }

  /** Returns the reply with the length of its body. */
  String text() {
    return head() + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Returns the reply without a length, so that only its connection could end it. */
  String textWithoutLength() {
    return head() + "\r\n" + body;
  }

  private String head() {
    StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
    if (id != null && !id.isEmpty()) {
      text.append(HeaderNames.REQUEST_ID).append(": ").append(id).append("\r\n");
    }
    headers.forEach(header -> text.append(header).append("\r\n"));
    return text.toString();
  }
}
