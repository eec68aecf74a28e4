/** Judges from notes of callers, servers and faults whether a rule was broken; without I/O. */
@NullMarked
package org.lockdale.soak.judge;

import org.jspecify.annotations.NullMarked;
