/** Load generator and the workloads of two kinds of deployments. */
@NullMarked
package org.lockdale.emulator.load;

import org.jspecify.annotations.NullMarked;
