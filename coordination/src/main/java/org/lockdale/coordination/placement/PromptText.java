package org.lockdale.coordination.placement;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Joins the messages of a request into the text whose prefixes are hashed. Nodes and engines must
 * join them in the same way, as their hashes would not match otherwise.
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

  /** Appends unmodified text, such as the prompt of a plain completion. */
  public PromptText append(String text) {
    bytes.writeBytes(text.getBytes(StandardCharsets.UTF_8));
    return this;
  }

  /** Returns the joined text in UTF-8. */
  public byte[] toBytes() {
    return bytes.toByteArray();
  }
}
