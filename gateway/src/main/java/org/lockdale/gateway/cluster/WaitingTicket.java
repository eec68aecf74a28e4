package org.lockdale.gateway.cluster;

import org.lockdale.gateway.admission.Ticket;
import org.lockdale.gateway.placement.PlacementQuery;

/** A request that waits at this node. Confined to one thread. */
final class WaitingTicket {

  final Ticket ticket;
  final PlacementQuery query;

  /** Whether it is a request of this node. */
  final boolean forThisNode;

  final AdmissionController.Listener listener;

  /** Wait that was announced on its arrival, in milliseconds. */
  long announcedMillis;

  /** Monotonic time at which the wait was announced. */
  long announcedAtMillis;

  WaitingTicket(
      Ticket ticket,
      PlacementQuery query,
      boolean forThisNode,
      AdmissionController.Listener listener) {
    this.ticket = ticket;
    this.query = query;
    this.forThisNode = forThisNode;
    this.listener = listener;
  }
}
