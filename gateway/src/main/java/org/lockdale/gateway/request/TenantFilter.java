package org.lockdale.gateway.request;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.configuration.Tenant;

/** Finds the tenant that holds a request's key. A key is trusted while its proof is fresh. */
final class TenantFilter implements RequestFilter {

  private static final long RETRY_AFTER_MILLIS = 300;

  private final long maxProofAgeMillis;

  /**
   * Creates a filter.
   *
   * @param maxProofAgeMillis age of the configuration from which on a key may have been revoked for
   *     too long
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
          "This node can't tell at present whether the key is still valid; try again.",
          RETRY_AFTER_MILLIS);
    }
    state.tenant = tenant.get();
    return null;
  }
}
