/** Draws plans of faults and changes from a seed. Does no I/O. */
@NullMarked
package org.lockdale.soak.plan;

import org.jspecify.annotations.NullMarked;
