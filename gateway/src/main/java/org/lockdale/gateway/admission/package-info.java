/** Admission of requests to engines: who waits, in which order, and who is refused. */
@NullMarked
package org.lockdale.gateway.admission;

import org.jspecify.annotations.NullMarked;
