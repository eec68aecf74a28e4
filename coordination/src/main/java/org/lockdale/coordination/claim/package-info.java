/** Run-once claims on idempotency keys. */
@NullMarked
package org.lockdale.coordination.claim;

import org.jspecify.annotations.NullMarked;
