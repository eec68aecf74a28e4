/** Load generator and the workloads of both users. */
@NullMarked
package org.lockdale.emulator.load;

import org.jspecify.annotations.NullMarked;
