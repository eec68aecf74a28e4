package org.lockdale.gateway.cluster;

import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;

/** Who uses the shares that nodes lend to this one. */
interface ShareBorrower {

  /** Returns what tells the lives of this node apart. */
  long life();

  /** Takes in the loan of a node. */
  void borrow(String node, ShareLoan loan);

  /** Gives the share of a node back. */
  void release(String node, ShareRecall recall);
}
