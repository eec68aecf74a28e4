/** Tenant limits, the queue for engine capacity, and retry budgets. */
@NullMarked
package org.lockdale.router.limit;

import org.jspecify.annotations.NullMarked;
