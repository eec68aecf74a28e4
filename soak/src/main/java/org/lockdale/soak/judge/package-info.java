/** Checks the recorded events of callers, servers and faults for rule violations. Does no I/O. */
@NullMarked
package org.lockdale.soak.judge;

import org.jspecify.annotations.NullMarked;
