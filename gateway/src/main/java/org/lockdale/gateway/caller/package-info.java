/** Requests as callers send them, and the port of the protocol they speak. */
@NullMarked
package org.lockdale.gateway.caller;

import org.jspecify.annotations.NullMarked;
