/** The path of one request: filters, attempts, the answer. */
@NullMarked
package org.lockdale.gateway.request;

import org.jspecify.annotations.NullMarked;
