package org.lockdale.soak.link;

import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import org.lockdale.soak.standin.Addresses;

/**
 * Replaces addresses of servers in the bytes that a node receives from another one. Nodes pass rows
 * of the store on, in which the addresses are those for the node that read them there.
 */
final class ServerAddressRewriter {

  private final int node;
  private String held = "";

  /**
   * Creates a rewriter.
   *
   * @param node number of the node that receives the bytes, starting at 1
   */
  ServerAddressRewriter(int node) {
    this.node = node;
  }

  /** Returns the bytes to forward; holds back an incomplete address at the end. */
  byte[] rewrite(byte[] bytes) {
    String text = held + new String(bytes, StandardCharsets.ISO_8859_1);
    int end = startOfIncompleteAddress(text);
    held = text.substring(end);
    return encode(text.substring(0, end));
  }

  /** Returns the bytes that were held back. */
  byte[] takeHeld() {
    String rest = held;
    held = "";
    return encode(rest);
  }

  boolean holdsBytes() {
    return !held.isEmpty();
  }

  private byte[] encode(String text) {
    return Addresses.withServerAddressesFor(node, text).getBytes(StandardCharsets.ISO_8859_1);
  }

  private static int startOfIncompleteAddress(String text) {
    Matcher matcher = Addresses.PROXIED_SERVER.matcher(text);
    int longest = Addresses.MAX_ADDRESS_LENGTH;
    for (int start = Math.max(0, text.length() - longest); start < text.length(); start++) {
      matcher.region(start, text.length());
      if (!matcher.lookingAt() && matcher.hitEnd()) {
        return start;
      }
    }
    return text.length();
  }
}
