package org.lockdale.gateway.quarantine;

/**
 * What a run of {@link QuarantineSimulation} is about.
 *
 * @param nodes number of nodes
 * @param servers number of servers
 * @param guilty number of requests that end servers
 * @param copies how many of each come in the same moment
 * @param repeats how often the caller of an innocent request repeats it at once
 * @param waves servers that end by themselves
 * @param disturbed whether nodes start again, are cut off, and the table is away
 * @param evidence how the ends of servers show
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
   * How the ends of servers show, and what looks like them.
   *
   * @param addressesTaken whether something else takes connections at the addresses of ended
   *     servers, so that their records alone tell
   * @param witnessesKilled whether each node that had requests at a server is killed within 50 ms
   *     of its end
   * @param resets share of the running requests whose connections break each second while their
   *     servers live
   * @param callersLeave share of the callers that leave before their answer, of guilty requests a
   *     moment before the end
   * @param allKilled share of the ends after which all nodes are killed within half a second; nodes
   *     are loaded then and read up to 0.9 s late that connections closed
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
   * Servers that end by themselves.
   *
   * @param share share of the servers that end together
   * @param gapMillis mean time between two waves
   * @param restartMillis time until a server is back, whatever ended it
   */
  record Waves(double share, int gapMillis, int restartMillis) {
    static final Waves NONE = new Waves(0, 3_000, 3_000);
  }
}
