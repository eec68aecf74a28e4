/** Detects the requests under which backends crash, and quarantines them. */
@NullMarked
package org.lockdale.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
