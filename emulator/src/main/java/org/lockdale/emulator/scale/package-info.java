/** Measures the coordination classes at many sizes with hollow nodes in one process. */
@NullMarked
package org.lockdale.emulator.scale;

import org.jspecify.annotations.NullMarked;
