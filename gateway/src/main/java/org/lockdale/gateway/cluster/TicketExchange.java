package org.lockdale.gateway.cluster;

/**
 * The parts of a node that exchange the tickets of waiting requests.
 *
 * @param client has relays place requests of this node
 * @param responder answers the tickets of other nodes
 * @param admission queue of this node
 */
public record TicketExchange(
    TicketClient client, TicketResponder responder, AdmissionServices admission) {

  /** Looks at the queue soon, since a node has reported its load. */
  void onReport() {
    admission.onReport();
  }
}
