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

  private record Report(int count, long atMillis) {}

  private final Map<NodeRun, Report> byNode = new HashMap<>();

  /** Records the number of a node's requests, in place of its earlier report. */
  void record(NodeRun node, int count, long nowMillis) {
    if (count > 0) {
      byNode.put(node, new Report(count, nowMillis));
    } else {
      byNode.remove(node);
    }
  }

  /** Returns the sum over all nodes. */
  int count(long nowMillis) {
    byNode.values().removeIf(report -> nowMillis - report.atMillis() >= VALID_MILLIS);
    int sum = 0;
    for (Report report : byNode.values()) {
      sum += report.count();
    }
    return sum;
  }
}
