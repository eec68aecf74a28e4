/** An abstraction of time, with which state machines run on the system clock or a virtual one. */
@NullMarked
package org.lockdale.coordination.time;

import org.jspecify.annotations.NullMarked;
