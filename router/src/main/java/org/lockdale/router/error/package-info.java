/** Typed errors of the request path; each message names the remedy. */
@NullMarked
package org.lockdale.router.error;

import org.jspecify.annotations.NullMarked;
