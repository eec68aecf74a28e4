package org.lockdale.coordination.membership;

/**
 * Timing and fan-out of membership. All times are in milliseconds.
 *
 * @param probeIntervalMillis time between two probes of one node
 * @param probeTimeoutMillis time until a direct probe is followed by indirect ones
 * @param indirectProbes members asked to probe on this node's behalf
 * @param gossipIntervalMillis time between two messages that only carry news, while there is some
 * @param gossipFanout members that get such a message
 * @param suspicionMillis time a suspect has to refute before it is taken for dead
 * @param synchronizationMillis time between two comparisons of member tables
 * @param wholeTableIntervalMillis least time between two whole tables sent by one node
 * @param reconnectMillis time between two probes of a member taken for dead, or of a seed while
 *     alone
 * @param deadRetentionMillis time a dead member is remembered
 * @param maxUpdatesPerMessage most member updates that ride on one message
 * @param transmissionFactor how often an update is sent on, times the decimal digits of the number
 *     of members
 */
public record MembershipSettings(
    long probeIntervalMillis,
    long probeTimeoutMillis,
    int indirectProbes,
    long gossipIntervalMillis,
    int gossipFanout,
    long suspicionMillis,
    long synchronizationMillis,
    long wholeTableIntervalMillis,
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
