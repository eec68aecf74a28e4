/** Stand-ins for the platform: table service, machine list, switchable faults. */
@NullMarked
package org.lockdale.emulator.platform;

import org.jspecify.annotations.NullMarked;
