package org.lockdale.gateway.weights;

/** What became of an order. */
public enum OrderOutcome {
  /** It is being carried out. */
  ACCEPTED,
  /** The engine holds the version already. */
  ALREADY_HELD,
  /** Another order is under way, or the engine has taken orders that the giver does not know. */
  CONFLICT,
  /** The engine has seen a newer fencing token. */
  FENCED,
  /** The engine does not know the version, or has been replaced. */
  REJECTED,
  /** No answer came; the order may be carried out now, later or never. */
  UNKNOWN
}
