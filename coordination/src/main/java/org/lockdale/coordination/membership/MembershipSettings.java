package org.lockdale.coordination.membership;

/**
 * Timing and fan-out of membership. All times are in milliseconds.
 *
 * @param probeIntervalMillis time between two probes that a node sends
 * @param probeTimeoutMillis time without an acknowledgement after which a direct probe is followed
 *     by indirect ones
 * @param indirectProbes number of members that are requested to probe on behalf of this node
 * @param gossipIntervalMillis time between two rounds of gossip, which are sent only while there is
 *     something to disseminate
 * @param gossipFanout number of members to which a round of gossip is sent
 * @param suspicionMillis time after which a suspect that has not refuted the suspicion counts as
 *     dead
 * @param synchronizationMillis average time between two comparisons of member tables
 * @param fullTableIntervalMillis minimum time between two full tables sent by one node
 * @param reconnectMillis time between two attempts to contact a dead member or an unknown seed
 * @param deadRetentionMillis time after which a dead member is removed
 * @param maxUpdatesPerMessage maximum number of member updates piggybacked on a message
 * @param transmissionFactor number of times that an update is sent per decimal digit of the number
 *     of reachable members
 */
public record MembershipSettings(
    long probeIntervalMillis,
    long probeTimeoutMillis,
    int indirectProbes,
    long gossipIntervalMillis,
    int gossipFanout,
    long suspicionMillis,
    long synchronizationMillis,
    long fullTableIntervalMillis,
    long reconnectMillis,
    long deadRetentionMillis,
    int maxUpdatesPerMessage,
    int transmissionFactor) {

  /** Returns the settings of a production cluster. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        1_000, 400, 3, 300, 2, 5_000, 30_000, 2_000, 5_000, 24 * 3_600_000L, 10, 4);
  }
}
