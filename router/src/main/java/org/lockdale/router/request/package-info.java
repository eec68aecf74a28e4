/**
 * The path of a request, one class a step, in the order of {@link
 * org.lockdale.router.request.RequestPath}.
 */
@NullMarked
package org.lockdale.router.request;

import org.jspecify.annotations.NullMarked;
