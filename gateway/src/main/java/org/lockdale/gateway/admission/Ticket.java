package org.lockdale.gateway.admission;

import org.jspecify.annotations.Nullable;

/**
 * A request that waits for room.
 *
 * @param key identifies it
 * @param pool pool that may serve it
 * @param model its model, or null; which engines may serve it depends on it
 * @param terms what its order depends on
 * @param computedTokens prompt tokens that an engine has to compute
 * @param arrivedAtMillis monotonic time at which it arrived at its first node, in milliseconds of
 *     the decider's clock
 * @param dueMillis monotonic time at which it has to be sent to meet its latency objective, also if
 *     it waits at the engine for its look-ahead
 * @param lastMillis monotonic time at which it has to be sent to be answered within its caller's
 *     patience
 */
public record Ticket(
    Key key,
    String pool,
    @Nullable String model,
    AdmissionTerms terms,
    long computedTokens,
    long arrivedAtMillis,
    long dueMillis,
    long lastMillis) {

  /** Cost of a token of the response in fair shares, relative to a computed token of a prompt. */
  private static final long OUTPUT_COST = 10;

  /**
   * Identifies a ticket.
   *
   * @param node id of the node that holds the request
   * @param number number of the question at that node
   */
  public record Key(String node, long number) {}

  /**
   * Creates a ticket.
   *
   * @param key identifies it
   * @param pool pool that may serve it
   * @param model its model, or null
   * @param terms what its order depends on
   * @param computedTokens prompt tokens that an engine has to compute
   * @param nowMillis monotonic time in milliseconds
   */
  public static Ticket of(
      Key key,
      String pool,
      @Nullable String model,
      AdmissionTerms terms,
      long computedTokens,
      long nowMillis) {
    long arrived = nowMillis - terms.waitedMillis();
    long compute = Math.round(computedTokens / EngineRoom.DEFAULT_TOKENS_PER_MILLI);
    return new Ticket(
        key,
        pool,
        model,
        terms,
        computedTokens,
        arrived,
        arrived + terms.objectiveMillis() - compute - RoomPolicy.lookAheadMillis(terms),
        arrived + terms.patienceMillis() - compute);
  }

  /** Returns the tokens that count in the fair share of its tenant. */
  long cost() {
    return Math.max(1, computedTokens + OUTPUT_COST * terms.outputTokens());
  }

  /** Returns the name by which its tenant's share is kept; empty for anonymous callers. */
  String tenant() {
    String tenant = terms.tenant();
    return tenant == null ? "" : tenant;
  }
}
