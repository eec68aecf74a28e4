/** Placement policies compared on a virtual clock, with the daemon's own decision classes. */
@NullMarked
package org.lockdale.experiments;

import org.jspecify.annotations.NullMarked;
