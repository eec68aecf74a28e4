/** Bounds on retries, and limits of tenants over all nodes. */
@NullMarked
package org.lockdale.gateway.limit;

import org.jspecify.annotations.NullMarked;
