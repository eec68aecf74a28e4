/** Block hashes of prompt prefixes and rendezvous placement. */
@NullMarked
package org.lockdale.coordination.placement;

import org.jspecify.annotations.NullMarked;
