/** Injected time, so that the same state machines run on a system clock and on a virtual one. */
@NullMarked
package org.lockdale.coordination.time;

import org.jspecify.annotations.NullMarked;
