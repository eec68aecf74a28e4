/** Request processing: filters, attempts at backends, and the answer to the caller. */
@NullMarked
package org.lockdale.gateway.request;

import org.jspecify.annotations.NullMarked;
