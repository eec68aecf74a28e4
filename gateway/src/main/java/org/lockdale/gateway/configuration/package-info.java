/** Routes, pools and tenants: what operators decide. */
@NullMarked
package org.lockdale.gateway.configuration;

import org.jspecify.annotations.NullMarked;
