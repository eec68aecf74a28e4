package org.lockdale.gateway.request;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.configuration.Tenant;

/**
 * Finds the tenant of a request by its key. Refuses keys while the configuration is too old to tell
 * whether they were revoked.
 */
final class TenantFilter implements RequestFilter {

  private static final long RETRY_AFTER_MILLIS = 300;

  private final long maxProofAgeMillis;

  /**
   * Creates a filter.
   *
   * @param maxProofAgeMillis age of the configuration beyond which a key is no longer trusted, in
   *     milliseconds
   */
  TenantFilter(long maxProofAgeMillis) {
    this.maxProofAgeMillis = maxProofAgeMillis;
  }

  @Override
  public @Nullable Refusal apply(RequestState state) {
    if (!state.configuration.keysRequired()) {
      return null;
    }
    Optional<Tenant> tenant = state.configuration.tenantOf(state.request.key());
    if (tenant.isEmpty()) {
      return state.route().anonymousAllowed()
          ? null
          : RouteFilter.denial(state, RefusalKind.UNKNOWN_KEY, "The key belongs to no tenant.");
    }
    if (state.configurationAgeMillis > maxProofAgeMillis) {
      return new Refusal(
          RefusalKind.NOT_CONFIGURED,
          "This node cannot currently verify whether the key is still valid; try again.",
          RETRY_AFTER_MILLIS);
    }
    state.tenant = tenant.get();
    return null;
  }
}
