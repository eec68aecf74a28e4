package org.lockdale.gateway.configuration;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A tenant.
 *
 * @param name name of the tenant
 * @param keys keys of its callers
 * @param priority rank of its requests in place of the route's, or null for the route's
 * @param isolated whether no cached prompt may be shared with other tenants
 * @param limit limit on its requests, or null for none
 */
public record Tenant(
    String name,
    Set<String> keys,
    @Nullable Integer priority,
    boolean isolated,
    @Nullable TenantLimit limit) {}
