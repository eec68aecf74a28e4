package org.lockdale.http;

import io.netty.handler.codec.http.HttpRequest;
import java.util.Iterator;
import java.util.Map;

/** Estimates what the head of a request takes up while the request is open. */
final class HeadSize {

  /**
   * Heads up to this size are not counted, in bytes, so that a server whose memory is in use still
   * answers requests such as checks of its readiness.
   */
  private static final int MAX_UNCOUNTED_BYTES = 4_096;

  /** Bytes of a header besides its characters: its entry, and the objects of its name and value. */
  private static final int HEADER_BYTES = 150;

  /** Bytes for each character: the text itself and what the handler makes of it. */
  private static final int BYTES_PER_CHARACTER = 2;

  private HeadSize() {}

  /** Returns the number of bytes to be counted for a head; 0 for a small one. */
  static int countedBytes(HttpRequest request) {
    int characters = request.uri().length();
    int bytes = 0;
    Iterator<Map.Entry<CharSequence, CharSequence>> headers =
        request.headers().iteratorCharSequence();
    while (headers.hasNext()) {
      Map.Entry<CharSequence, CharSequence> header = headers.next();
      characters += header.getKey().length() + header.getValue().length();
      bytes += HEADER_BYTES;
    }
    bytes += characters * BYTES_PER_CHARACTER;
    return bytes <= MAX_UNCOUNTED_BYTES ? 0 : bytes;
  }
}
