/**
 * The processing of a request, one class per step, in the order given by {@link
 * org.lockdale.router.request.RequestPath}.
 */
@NullMarked
package org.lockdale.router.request;

import org.jspecify.annotations.NullMarked;
