/** Histories of concurrent runs and the checker that judges them. */
@NullMarked
package org.lockdale.emulator.history;

import org.jspecify.annotations.NullMarked;
