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
  private final DenialRule denials;

  /**
   * Creates a filter.
   *
   * @param maxProofAgeMillis age of the configuration beyond which a key is no longer trusted, in
   *     milliseconds
   * @param denials decides on the refusal of an unknown key, which may have been added since
   */
  TenantFilter(long maxProofAgeMillis, DenialRule denials) {
    this.maxProofAgeMillis = maxProofAgeMillis;
    this.denials = denials;
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
          : denials.apply(state, RefusalKind.UNKNOWN_KEY, "The key belongs to no tenant.");
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
