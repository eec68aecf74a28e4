package org.lockdale.gateway.weights;

/** Outcome of an order as far as the node that gave it can tell. */
public enum OrderOutcome {
  /** The engine is carrying out the order. */
  ACCEPTED,
  /** The engine already holds the version. */
  ALREADY_HELD,
  /**
   * Another order is being carried out, or the engine has received orders unknown to the sender.
   */
  CONFLICT,
  /** The engine has seen a newer fencing token. */
  FENCED,
  /** The engine does not know the version, or has been replaced by another incarnation. */
  REJECTED,
  /** No response was received; the order may be carried out now, later or never. */
  UNKNOWN
}
