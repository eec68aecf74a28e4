package org.lockdale.gateway.rate;

import java.util.HashMap;
import java.util.Map;

/**
 * Numbers of requests to one backend that other nodes have reported: those that may arrive now or
 * have arrived recently. Performs no I/O; the time is passed in. Not thread-safe.
 */
final class ReportedSends {

  /**
   * Time for which a report counts, in milliseconds. Reports are repeated; where a node can't be
   * heard, its requests may still arrive.
   */
  private static final long VALID_MILLIS = 10_000;

  /** Interval at which reports that no longer count are removed, in milliseconds. */
  private static final long EXPIRY_INTERVAL_MILLIS = 500;

  private record Report(int count, long atMillis) {}

  private final Map<NodeRun, Report> byNode = new HashMap<>();
  private int sum;
  private long expiredAtMillis;

  /** Records the number of a node's requests, in place of its earlier report. */
  void record(NodeRun node, int count, long nowMillis) {
    Report replaced =
        count > 0 ? byNode.put(node, new Report(count, nowMillis)) : byNode.remove(node);
    sum += count - (replaced == null ? 0 : replaced.count());
  }

  /** Returns the sum over all nodes. */
  int count(long nowMillis) {
    if (nowMillis - expiredAtMillis >= EXPIRY_INTERVAL_MILLIS) {
      expiredAtMillis = nowMillis;
      byNode.values().removeIf(report -> nowMillis - report.atMillis() >= VALID_MILLIS);
      sum = byNode.values().stream().mapToInt(Report::count).sum();
    }
    return sum;
  }
}
