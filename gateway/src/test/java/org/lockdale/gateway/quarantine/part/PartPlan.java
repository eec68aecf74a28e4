package org.lockdale.gateway.quarantine.part;

/**
 * The parameters of a run of {@link PartSimulation}.
 *
 * @param nodes number of nodes
 * @param servers number of servers
 * @param guiltyParts number of prompt parts that crash servers
 * @param depth number of parts before a guilty one
 * @param guiltyCallers number of callers whose requests have guilty parts
 * @param guiltyPerSecond requests with each guilty part per second, without repeats
 * @param repeats number of times that a caller repeats a request that failed, at once
 * @param waves crashes of servers that no request causes
 * @param resetsPerSecond connections that break each second while their servers are alive
 * @param hotShare share of the sound requests that have the same subject
 * @param disturbed whether nodes are isolated and restart, and the store is unavailable at times
 */
record PartPlan(
    int nodes,
    int servers,
    int guiltyParts,
    int depth,
    int guiltyCallers,
    double guiltyPerSecond,
    int repeats,
    Waves waves,
    double resetsPerSecond,
    double hotShare,
    boolean disturbed) {

  /**
   * Waves of crashes that no request causes.
   *
   * @param share share of the servers that crash at the same moment
   * @param gapMillis mean time between two waves
   * @param restartMillis time until a server has restarted, whatever crashed it
   */
  record Waves(double share, int gapMillis, int restartMillis) {
    static final Waves NONE = new Waves(0, 3_000, 3_000);
  }

  static PartPlan guilty(int parts, int depth, int callers, double perSecond) {
    return new PartPlan(7, 8, parts, depth, callers, perSecond, 1, Waves.NONE, 0, 0, false);
  }

  static PartPlan sound() {
    return guilty(0, 0, 1, 0);
  }

  PartPlan withWaves(double share, int gapMillis, int restartMillis) {
    Waves changed = new Waves(share, gapMillis, restartMillis);
    return new PartPlan(
        nodes,
        servers,
        guiltyParts,
        depth,
        guiltyCallers,
        guiltyPerSecond,
        repeats,
        changed,
        resetsPerSecond,
        hotShare,
        disturbed);
  }

  PartPlan withFleet(int newNodes, int newServers) {
    return new PartPlan(
        newNodes,
        newServers,
        guiltyParts,
        depth,
        guiltyCallers,
        guiltyPerSecond,
        repeats,
        waves,
        resetsPerSecond,
        hotShare,
        disturbed);
  }

  PartPlan withResets(double perSecond) {
    return new PartPlan(
        nodes,
        servers,
        guiltyParts,
        depth,
        guiltyCallers,
        guiltyPerSecond,
        repeats,
        waves,
        perSecond,
        hotShare,
        disturbed);
  }

  PartPlan withRepeats(int newRepeats) {
    return new PartPlan(
        nodes,
        servers,
        guiltyParts,
        depth,
        guiltyCallers,
        guiltyPerSecond,
        newRepeats,
        waves,
        resetsPerSecond,
        hotShare,
        disturbed);
  }

  PartPlan withHotSubject(double share) {
    return new PartPlan(
        nodes,
        servers,
        guiltyParts,
        depth,
        guiltyCallers,
        guiltyPerSecond,
        repeats,
        waves,
        resetsPerSecond,
        share,
        disturbed);
  }

  PartPlan withDisturbances() {
    return new PartPlan(
        nodes,
        servers,
        guiltyParts,
        depth,
        guiltyCallers,
        guiltyPerSecond,
        repeats,
        waves,
        resetsPerSecond,
        hotShare,
        true);
  }
}
