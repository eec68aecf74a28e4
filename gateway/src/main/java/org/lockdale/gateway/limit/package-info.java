/** Retry budgets, and limits of tenants across all nodes. */
@NullMarked
package org.lockdale.gateway.limit;

import org.jspecify.annotations.NullMarked;
