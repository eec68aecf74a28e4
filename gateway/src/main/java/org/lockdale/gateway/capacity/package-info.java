/** Estimates of what engines can do: memory in use, speed, slow spells and silence. */
@NullMarked
package org.lockdale.gateway.capacity;

import org.jspecify.annotations.NullMarked;
