package org.lockdale.gateway.configuration;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * A tenant.
 *
 * @param name name of the tenant
 * @param keys keys of its callers
 * @param priority priority of its requests, 0 is the most urgent, or null for that of the route
 * @param isolated whether its cached prompts must not be shared with other tenants
 * @param limit limit on its requests, or null if there is none
 */
public record Tenant(
    String name,
    Set<String> keys,
    @Nullable Integer priority,
    boolean isolated,
    @Nullable TenantLimit limit) {}
