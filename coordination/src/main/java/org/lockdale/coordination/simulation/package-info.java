/** A deterministic simulation of a network and a clock that runs many nodes in one process. */
@NullMarked
package org.lockdale.coordination.simulation;

import org.jspecify.annotations.NullMarked;
