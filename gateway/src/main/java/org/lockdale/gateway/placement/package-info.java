/** Choice of the backend that serves a request. */
@NullMarked
package org.lockdale.gateway.placement;

import org.jspecify.annotations.NullMarked;
