/** Typed errors of the request path; each message ends with a remedy. */
@NullMarked
package org.lockdale.router.error;

import org.jspecify.annotations.NullMarked;
