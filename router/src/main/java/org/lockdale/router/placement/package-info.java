/** Choice of an engine by cached prefix, load and network latency. */
@NullMarked
package org.lockdale.router.placement;

import org.jspecify.annotations.NullMarked;
