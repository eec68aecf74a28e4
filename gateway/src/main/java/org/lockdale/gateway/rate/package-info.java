/** Rate limits that backends advertise in their responses, which apply to all nodes together. */
@NullMarked
package org.lockdale.gateway.rate;

import org.jspecify.annotations.NullMarked;
