/** Bounds on retries. */
@NullMarked
package org.lockdale.gateway.limit;

import org.jspecify.annotations.NullMarked;
