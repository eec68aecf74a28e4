package org.lockdale.router.policy;

import java.util.Map;

/**
 * A tenant.
 *
 * @param name name
 * @param labels labels set by operators
 * @param limit strictest limits of all that select the tenant
 */
public record Tenant(String name, Map<String, String> labels, TenantLimit limit) {}
