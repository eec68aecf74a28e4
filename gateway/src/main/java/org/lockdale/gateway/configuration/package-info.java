/** Configuration set by operators: routes, pools and tenants. */
@NullMarked
package org.lockdale.gateway.configuration;

import org.jspecify.annotations.NullMarked;
