/** Cluster membership: SWIM probing, suspicion, refutation and gossip, without I/O. */
@NullMarked
package org.lockdale.coordination.membership;

import org.jspecify.annotations.NullMarked;
