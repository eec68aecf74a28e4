/** Request processing: filters, attempts at backends, and the response to the caller. */
@NullMarked
package org.lockdale.gateway.request;

import org.jspecify.annotations.NullMarked;
