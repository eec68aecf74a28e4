package org.lockdale.http;

import org.jspecify.annotations.Nullable;

/**
 * Compares what a peer has sent for one call with the content in it, by {@link ResponseLimits}.
 * Does no I/O; not thread-safe.
 */
final class ResponseProgress {

  private long receivedBytes;
  private long contentBytes;
  private long surplusBytes;
  private long unwantedBytes;
  private int informationalHeads;

  /** Records bytes that arrived over the connection, of whatever kind. */
  void recordReceived(int bytes) {
    receivedBytes += bytes;
  }

  /** Records content that was passed to the listener. */
  void recordContent(int bytes) {
    contentBytes += bytes;
  }

  /** Records content of a surplus reply. */
  void recordSurplus(int bytes) {
    surplusBytes += bytes;
  }

  /** Records content of the reply that the listener no longer wants. */
  void recordUnwanted(int bytes) {
    unwantedBytes += bytes;
  }

  /** Records an informational head. */
  void recordInformationalHead() {
    informationalHeads++;
  }

  /** Returns which limit is exceeded, as a message; null if none is. */
  @Nullable String problem() {
    if (informationalHeads > ResponseLimits.INFORMATIONAL_HEADS) {
      return informationalHeads + " informational heads arrived before the head of the reply";
    }
    if (surplusBytes > ResponseLimits.SURPLUS_BYTES) {
      return surplusBytes + " bytes arrived of replies that belong to other requests";
    }
    if (unwantedBytes > ResponseLimits.UNWANTED_BYTES) {
      return unwantedBytes + " bytes arrived of a body that is not needed";
    }
    long content = contentBytes + surplusBytes + unwantedBytes;
    long overhead = receivedBytes - content;
    if (overhead
        > ResponseLimits.OVERHEAD_BYTES + content * ResponseLimits.OVERHEAD_PER_CONTENT_BYTE) {
      return overhead
          + " bytes of heads, chunk sizes or trailers arrived with "
          + content
          + " bytes of content";
    }
    return null;
  }
}
