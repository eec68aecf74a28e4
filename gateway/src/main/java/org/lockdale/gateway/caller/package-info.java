/** Requests of callers, and the interface to the protocol in which they are sent. */
@NullMarked
package org.lockdale.gateway.caller;

import org.jspecify.annotations.NullMarked;
