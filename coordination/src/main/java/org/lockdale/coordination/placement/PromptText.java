package org.lockdale.coordination.placement;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Joins the messages of a request into the one text that prefixes are taken from. Nodes and engines
 * must join alike, or no hash of one would mean anything to the other.
 */
public final class PromptText {

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  /** Appends a chat message. */
  public PromptText message(String role, String content) {
    append(role);
    bytes.write('\n');
    append(content);
    bytes.write('\n');
    return this;
  }

  /** Appends text as it is, as in a plain completion. */
  public PromptText append(String text) {
    bytes.writeBytes(text.getBytes(StandardCharsets.UTF_8));
    return this;
  }

  /** Returns the joined text, UTF-8. */
  public byte[] toBytes() {
    return bytes.toByteArray();
  }
}
