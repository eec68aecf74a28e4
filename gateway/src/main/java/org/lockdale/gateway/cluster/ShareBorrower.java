package org.lockdale.gateway.cluster;

import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;

/** Uses the shares of limits that nodes lend to this node. */
interface ShareBorrower {

  /** Returns the number that identifies this incarnation of the node, a run of its process. */
  long incarnation();

  /** Accepts the loan of a node. */
  void borrow(String node, ShareLoan loan);

  /** Stops using the share of a node. */
  void release(String node, ShareRecall recall);
}
