package org.lockdale.gateway.rate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Requests that backends with a rate may receive within one window, whatever delays them on their
 * way: those that this node and others have sent, and those that were granted and are not in any
 * report yet. Performs no I/O; the time is passed in. Not thread-safe.
 */
final class PendingArrivals {

  /**
   * Time within which a granted request is sent and reported, in milliseconds. Until then its grant
   * counts, and after its report both do for a while.
   */
  private static final long REPORT_MILLIS = 500;

  /** Time until an arrival or a report may have made room, in milliseconds. */
  private static final long RETRY_MILLIS = 500;

  /** Rounding error of sums of shares. */
  private static final double ROUNDING = 1e-6;

  private static final class Pending {
    final SentRequests sent = new SentRequests();
    final ReportedSends reported = new ReportedSends();
    final Deque<Long> grantedAt = new ArrayDeque<>();

    int count(long nowMillis) {
      while (!grantedAt.isEmpty() && nowMillis - grantedAt.getFirst() >= REPORT_MILLIS) {
        grantedAt.removeFirst();
      }
      return sent.count(nowMillis) + reported.count(nowMillis) + grantedAt.size();
    }
  }

  private final Map<String, Pending> byBackend = new HashMap<>();

  private Pending pending(String backend) {
    return byBackend.computeIfAbsent(backend, id -> new Pending());
  }

  /** Records that this node has granted a request, its own or that of another node. */
  void recordGrant(String backend, long nowMillis) {
    pending(backend).grantedAt.addLast(nowMillis);
  }

  /** Records that this node sends a request. */
  void recordSend(RateSend send) {
    pending(send.backend()).sent.add(send);
  }

  /** Records that the response to a request has begun, or that its attempt ended without one. */
  void recordEnd(RateSend send, RateSend.End end, long nowMillis) {
    Pending pending = byBackend.get(send.backend());
    if (pending != null) {
      pending.sent.end(send, end, nowMillis);
    }
  }

  /** Records the number of another node's requests, in place of its earlier report. */
  void recordReport(NodeRun node, String backend, int count, long nowMillis) {
    pending(backend).reported.record(node, count, nowMillis);
  }

  /**
   * Returns whether one more request stays within a number.
   *
   * @param tolerated requests that the backend tolerates in one window
   */
  boolean hasRoom(String backend, double tolerated, long nowMillis) {
    return count(backend, nowMillis) + 1 <= tolerated + ROUNDING;
  }

  /**
   * Returns the time after which one more request may stay within a number, in milliseconds; 0 if
   * it does now.
   *
   * @param tolerated requests that the backend tolerates in one window
   */
  long waitMillis(String backend, double tolerated, long nowMillis) {
    return hasRoom(backend, tolerated, nowMillis) ? 0 : RETRY_MILLIS;
  }

  /** Returns the number of requests that may arrive now or have arrived within the last window. */
  int count(String backend, long nowMillis) {
    Pending pending = byBackend.get(backend);
    return pending == null ? 0 : pending.count(nowMillis);
  }

  /** Returns those of this node alone, by backend, without backends that have none. */
  Map<String, Integer> sentCounts(long nowMillis) {
    Map<String, Integer> counts = new HashMap<>();
    byBackend.forEach(
        (backend, pending) -> {
          int count = pending.sent.count(nowMillis);
          if (count > 0) {
            counts.put(backend, count);
          }
        });
    return counts;
  }

  /** Removes all backends but some. */
  void retain(Set<String> backends) {
    byBackend.keySet().retainAll(backends);
  }
}
