package org.lockdale.gateway.cluster;

/** Ways in which a simulated node loses the store, the other nodes or its process. */
enum RelayFault {
  /** The store rejects the node's calls at once. */
  REFUSED,
  /** The store does not respond to the node. */
  STORE_SILENT,
  KILLED,
  FROZEN,
  /** Neither the store nor other nodes are reached. */
  CUT_OFF,
  /** Other nodes are not reached, the store is. */
  CUT_FROM_NODES,
  /** Heartbeats arrive, calls by other nodes get no response. */
  CALLS_UNANSWERED,
  /** A third of the datagrams is lost, and calls take 300 ms longer in each direction. */
  LOSSY
}
