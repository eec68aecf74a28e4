/** Leases on a row of a transactional store, with fencing tokens. */
@NullMarked
package org.lockdale.coordination.lease;

import org.jspecify.annotations.NullMarked;
