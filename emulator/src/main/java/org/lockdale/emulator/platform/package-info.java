/** Emulated platform: table service, machine list and fault injection. */
@NullMarked
package org.lockdale.emulator.platform;

import org.jspecify.annotations.NullMarked;
