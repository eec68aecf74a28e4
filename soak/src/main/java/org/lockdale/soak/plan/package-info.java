/** Plans of faults and changes, drawn from a seed; without I/O. */
@NullMarked
package org.lockdale.soak.plan;

import org.jspecify.annotations.NullMarked;
