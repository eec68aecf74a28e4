/** Backends that announce in their responses that they are draining, or request a backoff. */
@NullMarked
package org.lockdale.gateway.drain;

import org.jspecify.annotations.NullMarked;
