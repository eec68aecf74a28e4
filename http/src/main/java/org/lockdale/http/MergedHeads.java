package org.lockdale.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Tells heads that the decoder made of two: of one that the peer did not finish, and of the next
 * one on the connection. Such a head has the status of the first one and the id of the second one.
 */
final class MergedHeads {

  /** Start of a head, which is read as text where the head before it has no end. */
  private static final Pattern HEAD_START = Pattern.compile("HTTP/1\\.\\d \\d{3}");

  private MergedHeads() {}

  /** Returns whether a head continues in another one. */
  static boolean isMerged(HttpResponse head) {
    if (HEAD_START.matcher(head.status().reasonPhrase()).find()) {
      return true;
    }
    Iterator<Map.Entry<CharSequence, CharSequence>> headers = head.headers().iteratorCharSequence();
    while (headers.hasNext()) {
      if (HEAD_START.matcher(headers.next().getValue()).find()) {
        return true;
      }
    }
    return false;
  }
}
