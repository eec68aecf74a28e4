/** Rates at which back ends take requests from all nodes together, as their answers name them. */
@NullMarked
package org.lockdale.gateway.rate;

import org.jspecify.annotations.NullMarked;
