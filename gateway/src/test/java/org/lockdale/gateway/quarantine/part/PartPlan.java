package org.lockdale.gateway.quarantine.part;

/**
 * The parameters of a run of {@link PartSimulation}.
 *
 * @param nodes number of nodes
 * @param servers number of servers
 * @param guilty the requests that crash servers
 * @param callers how callers send and repeat requests
 * @param troubles what else happens
 */
record PartPlan(int nodes, int servers, Guilty guilty, Callers callers, Troubles troubles) {

  /**
   * Requests with prompt parts that crash servers.
   *
   * @param parts number of such parts
   * @param depth number of parts before one of them
   * @param callers number of callers that send them
   * @param perSecond requests with each part per second, without repeats
   */
  record Guilty(int parts, int depth, int callers, double perSecond) {}

  /**
   * How callers send and repeat requests.
   *
   * @param repeats number of times that a caller repeats a request that failed, at once
   * @param hotShare share of the sound requests that have the same subject
   */
  record Callers(int repeats, double hotShare) {}

  /**
   * What else happens.
   *
   * @param waveShare share of the servers that crash at the same moment though no request causes it
   * @param waveGapMillis mean time between two such waves
   * @param restartMillis time until a server has restarted, whatever crashed it
   * @param resetsPerSecond connections that break each second while their servers are alive
   * @param disturbed whether nodes are isolated and restart, and the store is unavailable at times
   */
  record Troubles(
      double waveShare,
      int waveGapMillis,
      int restartMillis,
      double resetsPerSecond,
      boolean disturbed) {}

  static PartPlan guilty(int parts, int depth, int callers, double perSecond) {
    Troubles none = new Troubles(0, 3_000, 3_000, 0, false);
    Guilty guilty = new Guilty(parts, depth, callers, perSecond);
    return new PartPlan(7, 8, guilty, new Callers(1, 0), none);
  }

  static PartPlan sound() {
    return guilty(0, 0, 1, 0);
  }

  PartPlan withFleet(int newNodes, int newServers) {
    return new PartPlan(newNodes, newServers, guilty, callers, troubles);
  }

  PartPlan withRepeats(int repeats) {
    return new PartPlan(nodes, servers, guilty, new Callers(repeats, callers.hotShare), troubles);
  }

  PartPlan withHotSubject(double share) {
    return new PartPlan(nodes, servers, guilty, new Callers(callers.repeats, share), troubles);
  }

  PartPlan withWaves(double share, int gapMillis, int restartMillis) {
    return with(
        new Troubles(
            share, gapMillis, restartMillis, troubles.resetsPerSecond, troubles.disturbed));
  }

  PartPlan withResets(double perSecond) {
    return with(
        new Troubles(
            troubles.waveShare,
            troubles.waveGapMillis,
            troubles.restartMillis,
            perSecond,
            troubles.disturbed));
  }

  PartPlan withDisturbances() {
    return with(
        new Troubles(
            troubles.waveShare,
            troubles.waveGapMillis,
            troubles.restartMillis,
            troubles.resetsPerSecond,
            true));
  }

  private PartPlan with(Troubles changed) {
    return new PartPlan(nodes, servers, guilty, callers, changed);
  }
}
