/**
 * The configuration in the form that the request path uses: selectors, tenants, routes, priorities,
 * limits.
 */
@NullMarked
package org.lockdale.router.policy;

import org.jspecify.annotations.NullMarked;
