package org.lockdale.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Tells heads that the decoder made of two: of one that the peer did not finish, and of the next
 * one on the connection. Such a head has the status of the first one and the id of the second one.
 * Trailers without an end take in the next head as well.
 */
final class MergedHeads {

  /** Start of a head, which is read as text where the head before it has no end. */
  private static final Pattern HEAD_START = Pattern.compile("HTTP/1\\.\\d \\d{3}");

  private MergedHeads() {}

  /** Returns whether the headers or trailers in a part of a reply continue in another head. */
  static boolean isIn(HttpObject part) {
    if (part instanceof HttpResponse head) {
      return HEAD_START.matcher(head.status().reasonPhrase()).find() || isIn(head.headers());
    }
    return part instanceof LastHttpContent last && isIn(last.trailingHeaders());
  }

  private static boolean isIn(HttpHeaders headers) {
    Iterator<Map.Entry<CharSequence, CharSequence>> entries = headers.iteratorCharSequence();
    while (entries.hasNext()) {
      if (HEAD_START.matcher(entries.next().getValue()).find()) {
        return true;
      }
    }
    return false;
  }
}
