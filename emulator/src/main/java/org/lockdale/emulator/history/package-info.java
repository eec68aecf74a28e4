/** Histories of concurrent runs, and a checker of the guarantees that they must satisfy. */
@NullMarked
package org.lockdale.emulator.history;

import org.jspecify.annotations.NullMarked;
