/** Detects the requests that crash backends, and quarantines them. */
@NullMarked
package org.lockdale.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
