package org.lockdale.router.policy;

import java.util.Map;

/**
 * A tenant.
 *
 * @param name name
 * @param labels labels set by operators, and the tenant's name as label {@code tenant}
 * @param limit the strictest of all limits that select the tenant
 */
public record Tenant(String name, Map<String, String> labels, TenantLimit limit) {}
