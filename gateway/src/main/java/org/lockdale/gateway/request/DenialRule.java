package org.lockdale.gateway.request;

/**
 * Decides whether requests that the configuration does not allow are refused for good, which needs
 * a configuration that is known to be current.
 */
final class DenialRule {

  /** Age of the configuration beyond which a newer one may allow the request. */
  private static final long MAX_AGE_TO_DENY_MILLIS = 2_000;

  private static final long RETRY_AFTER_MILLIS = 300;

  private final PeerConfigurations configurations;

  /**
   * Creates a rule.
   *
   * @param configurations newest version of the configuration that other nodes have named
   */
  DenialRule(PeerConfigurations configurations) {
    this.configurations = configurations;
  }

  /**
   * Returns a final refusal if the configuration is known to be current, and a temporary one
   * otherwise.
   */
  Refusal apply(RequestState state, RefusalKind kind, String message) {
    boolean old = state.configurationAgeMillis > MAX_AGE_TO_DENY_MILLIS;
    return old || configurations.isOutdated(state.configuration)
        ? outdated()
        : Refusal.of(kind, message);
  }

  /** Returns the refusal of a request for which the configuration may be too old. */
  static Refusal outdated() {
    return new Refusal(
        RefusalKind.NOT_CONFIGURED,
        "The configuration of this node may be out of date; try again.",
        RETRY_AFTER_MILLIS);
  }
}
