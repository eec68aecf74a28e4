/** Runs a deployment of separate processes under a plan of faults, with traffic and checks. */
@NullMarked
package org.lockdale.soak.run;

import org.jspecify.annotations.NullMarked;
