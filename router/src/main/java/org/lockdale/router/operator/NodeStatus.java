package org.lockdale.router.operator;

import java.util.List;
import java.util.Map;

/**
 * Status of one node with its view of the other nodes and the engines.
 *
 * @param node node id
 * @param zone zone
 * @param phase {@code STARTING}, {@code SERVING} or {@code STOPPING}
 * @param configurationVersion version in force
 * @param requestsInFlight number of requests that have not ended
 * @param requestsQueued number of requests that wait for an engine
 * @param pendingClaimEnds number of final states of claims still to be written
 * @param members other nodes
 * @param engines engines
 */
public record NodeStatus(
    String node,
    String zone,
    String phase,
    long configurationVersion,
    int requestsInFlight,
    int requestsQueued,
    int pendingClaimEnds,
    List<MemberStatusLine> members,
    List<EngineStatusLine> engines) {

  /**
   * Another node as known to this one.
   *
   * @param operatorAddress IP address and port of its operators' interface
   */
  public record MemberStatusLine(
      String node, String zone, String status, long incarnation, String operatorAddress) {}

  /**
   * An engine as known to this node.
   *
   * @param usable whether it can be given new work
   * @param leaving whether it is draining
   * @param reportAgeMillis age of its load report in milliseconds, or -1 before the first
   */
  public record EngineStatusLine(
      String engine,
      String zone,
      boolean usable,
      boolean leaving,
      String incarnation,
      Map<String, String> weights,
      Map<String, String> labels,
      int running,
      int queued,
      int maxRunning,
      long reportAgeMillis) {}
}
