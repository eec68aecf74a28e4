/** A deterministic network and clock that run many nodes in one process. */
@NullMarked
package org.lockdale.coordination.simulation;

import org.jspecify.annotations.NullMarked;
