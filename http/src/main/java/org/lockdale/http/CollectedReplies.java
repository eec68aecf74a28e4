package org.lockdale.http;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Bounds the bytes of all replies that a client collects at the same time, so that faulty peers
 * can't use up the memory of the process. Thread-safe.
 */
final class CollectedReplies {

  /** Maximum number of bytes of all replies that are incomplete. */
  static final int MAX_BYTES = 16 * 1024 * 1024;

  private final Map<ReplyCollector, Integer> bytesByCollector = new HashMap<>();
  private long bytes;

  /**
   * Counts a part of a reply.
   *
   * @return the collector that must give up its reply, the one with the most bytes; null while all
   *     replies are within the bound
   */
  synchronized @Nullable ReplyCollector add(ReplyCollector collector, int partBytes) {
    bytesByCollector.merge(collector, partBytes, Integer::sum);
    bytes += partBytes;
    return bytes <= MAX_BYTES
        ? null
        : bytesByCollector.entrySet().stream()
            .max(Comparator.comparingInt(Map.Entry::getValue))
            .map(Map.Entry::getKey)
            .orElseThrow();
  }

  /** Counts a reply no longer, as it is complete or was given up. */
  synchronized void remove(ReplyCollector collector) {
    Integer removed = bytesByCollector.remove(collector);
    bytes -= removed == null ? 0 : removed;
  }
}
