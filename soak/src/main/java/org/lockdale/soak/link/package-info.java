/** A loopback proxy between the processes of a run, which injects faults into their links. */
@NullMarked
package org.lockdale.soak.link;

import org.jspecify.annotations.NullMarked;
