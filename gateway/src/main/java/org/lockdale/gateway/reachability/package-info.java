/** Detects that this node has lost its links to the backends of a pool. */
@NullMarked
package org.lockdale.gateway.reachability;

import org.jspecify.annotations.NullMarked;
