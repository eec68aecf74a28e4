package org.lockdale.router.operator;

import java.util.List;
import java.util.Map;

/**
 * Status of one node, as it sees itself and the others.
 *
 * @param node node id
 * @param zone zone
 * @param phase starting, serving or stopping
 * @param configurationVersion version in force
 * @param requestsInFlight requests that have not ended
 * @param requestsQueued requests that wait for an engine
 * @param pendingClaimEnds ends of claims still to be written
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
   * Another node as this one sees it.
   *
   * @param operatorAddress IP address and port of its operators' interface
   */
  public record MemberStatusLine(
      String node, String zone, String status, long incarnation, String operatorAddress) {}

  /**
   * An engine as this node sees it.
   *
   * @param usable whether it can be given new work
   * @param reportAgeMillis age of its load report, or -1 before the first
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
