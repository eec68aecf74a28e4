package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.gateway.blackboard.GatewayPhase;

/** Refuses requests that arrive so late in a planned stop that they might be interrupted. */
final class PhaseFilter implements RequestFilter {

  /** Minimal delay: another node can take the request at once. */
  static final long RETRY_AFTER_MILLIS = 1;

  private final Section<GatewayPhase> phase;

  PhaseFilter(Section<GatewayPhase> phase) {
    this.phase = phase;
  }

  @Override
  public @Nullable Refusal apply(RequestState state) {
    if (!phase.value().refusesRequests()) {
      return null;
    }
    return new Refusal(
        RefusalKind.STOPPING,
        "This node is stopping; send the request again over a new connection.",
        RETRY_AFTER_MILLIS);
  }
}
