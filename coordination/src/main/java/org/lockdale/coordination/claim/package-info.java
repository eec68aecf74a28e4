/** Claims on idempotency keys, with which a request runs at most once. */
@NullMarked
package org.lockdale.coordination.claim;

import org.jspecify.annotations.NullMarked;
