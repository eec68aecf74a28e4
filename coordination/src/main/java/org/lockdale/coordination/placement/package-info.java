/** Block hashes of prompt prefixes and rendezvous hashing. */
@NullMarked
package org.lockdale.coordination.placement;

import org.jspecify.annotations.NullMarked;
