/**
 * The configuration as the request path reads it: selectors, tenants, routes, priorities, limits.
 */
@NullMarked
package org.lockdale.router.policy;

import org.jspecify.annotations.NullMarked;
