package org.lockdale.http;

/**
 * Bounds of what a peer may send for one call beside the content of the reply. They end a reply
 * that makes no progress however much arrives; the listener of a call bounds the content itself.
 */
final class ResponseLimits {

  /**
   * Bytes beside content that any reply may have: heads, blank lines, chunk sizes, extensions and
   * trailers.
   */
  static final long OVERHEAD_BYTES = 4 * 1024 * 1024;

  /**
   * Further bytes beside content for each byte of content, so that a long reply in chunks of at
   * least five bytes is never too long.
   */
  static final long OVERHEAD_PER_CONTENT_BYTE = 1;

  /** Informational heads before the head of the reply. */
  static final int INFORMATIONAL_HEADS = 1_000;

  /**
   * Content of surplus replies, in bytes: as much as the largest plain reply that is forwarded, as
   * a late one may be of any size.
   */
  static final long SURPLUS_BYTES = 16 * 1024 * 1024;

  /**
   * Content that is read only so that the connection can be reused, in bytes. Beyond that, a new
   * connection costs less.
   */
  static final long UNWANTED_BYTES = 256 * 1024;

  private ResponseLimits() {}
}
