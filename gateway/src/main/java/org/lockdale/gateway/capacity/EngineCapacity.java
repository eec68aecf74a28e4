package org.lockdale.gateway.capacity;

/**
 * Estimated capacity of one incarnation of an engine, or of another backend.
 *
 * @param reservedTokens tokens of its memory that the open attempts of all nodes occupy
 * @param speed speed relative to the median of the pool; 1 if unknown
 * @param tokensPerMilli prompt tokens that it computes per millisecond at its own speed; 0 if
 *     unknown
 * @param gapMillis typical time between two events of a stream, in milliseconds; 0 if unknown
 * @param slowdown factor by which it is slower than usual at present; 1 if it is not
 * @param silent whether it has stopped responding to all nodes
 * @param ageMillis age of the newest observation, in milliseconds; {@link Long#MAX_VALUE} if there
 *     is none
 */
public record EngineCapacity(
    long reservedTokens,
    double speed,
    double tokensPerMilli,
    double gapMillis,
    double slowdown,
    boolean silent,
    long ageMillis) {

  /** The capacity of an engine of which nothing was observed. */
  public static final EngineCapacity UNKNOWN =
      new EngineCapacity(0, 1, 0, 0, 1, false, Long.MAX_VALUE);

  /** Returns the present speed relative to the median of the pool. */
  public double currentSpeed() {
    return speed / slowdown;
  }
}
