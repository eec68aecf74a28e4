package org.lockdale.gateway.quarantine;

/**
 * The parameters of a run of {@link QuarantineSimulation}.
 *
 * @param nodes number of nodes
 * @param servers number of servers
 * @param guilty number of requests that crash servers
 * @param copies number of copies of each guilty request that are sent at the same moment
 * @param repeats number of times that the caller of an innocent request repeats it at once
 * @param waves crashes of servers that no request causes
 * @param disturbed whether nodes restart and are isolated, and the store is unavailable at times
 * @param evidence how crashes become visible
 */
record SimulationPlan(
    int nodes,
    int servers,
    int guilty,
    int copies,
    int repeats,
    Waves waves,
    boolean disturbed,
    Evidence evidence) {

  private static final int SERVERS = 12;

  SimulationPlan(
      int nodes,
      int guilty,
      int copies,
      int repeats,
      Waves waves,
      boolean disturbed,
      Evidence evidence) {
    this(nodes, SERVERS, guilty, copies, repeats, waves, disturbed, evidence);
  }

  SimulationPlan(int nodes, int guilty, int copies, int repeats, Waves waves, boolean disturbed) {
    this(nodes, guilty, copies, repeats, waves, disturbed, Evidence.PLAIN);
  }

  /**
   * How crashes of servers become visible, and what resembles them.
   *
   * @param addressesTaken whether something else accepts connections at the addresses of crashed
   *     servers, so that only their records show the crashes
   * @param witnessesKilled whether each node that had requests on a server is killed within 50 ms
   *     of its crash
   * @param resets share of the running requests whose connections break each second while their
   *     servers are alive
   * @param callersLeave share of the callers that disconnect before their response, for guilty
   *     requests shortly before the crash
   * @param allKilled share of the crashes after which all nodes are killed within half a second;
   *     nodes are overloaded then and detect closed connections up to 0.9 s late
   */
  record Evidence(
      boolean addressesTaken,
      boolean witnessesKilled,
      double resets,
      double callersLeave,
      double allKilled) {
    static final Evidence PLAIN = new Evidence(false, false, 0, 0, 0);

    Evidence(boolean addressesTaken, boolean witnessesKilled, double resets) {
      this(addressesTaken, witnessesKilled, resets, 0, 0);
    }
  }

  /**
   * Waves of crashes that no request causes.
   *
   * @param share share of the servers that crash together
   * @param gapMillis mean time between two waves
   * @param restartMillis time until a server has restarted, whatever crashed it
   */
  record Waves(double share, int gapMillis, int restartMillis) {
    static final Waves NONE = new Waves(0, 3_000, 3_000);
  }
}
