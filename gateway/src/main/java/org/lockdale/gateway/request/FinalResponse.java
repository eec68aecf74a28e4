package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.admission.RoomForecast;
import org.lockdale.gateway.placement.PlacementResult;
import org.lockdale.http.HttpReply;

/**
 * Sends the response of a request that this node gives up on. Confined to the event loop of the
 * caller's connection.
 */
final class FinalResponse implements RequestEnding {

  private final RequestPath path;
  private final RequestState state;

  FinalResponse(RequestPath path, RequestState state) {
    this.path = path;
    this.state = state;
  }

  @Override
  public String giveUp(
      String reason, @Nullable HttpReply backendFailure, @Nullable Long retryAfterMillis) {
    if (state.response.hasStarted()) {
      state.response.openOwn().abort();
      return "broken-off";
    }
    if (backendFailure != null) {
      state.response.openOwn().reply(backendFailure);
      return "backend-error";
    }
    if (state.possibleRuns > 0) {
      return refuse(Refusal.of(RefusalKind.BACKEND_FAILED, "The backend failed: " + reason + "."));
    }
    return refuseAsNotRun(RefusalKind.UNAVAILABLE, reason, retryAfterMillis);
  }

  @Override
  public String refuse(PlacementResult.Refused refused) {
    if (refused.retryAfterMillis() <= 0) {
      return giveUp(
          "it is larger than the memory of an engine of pool "
              + state.pool
              + "; shorten the prompt or the response",
          null,
          0L);
    }
    long remaining = state.deadlineAtMillis() - path.nowMillis();
    return giveUp(
        "no engine of pool " + state.pool + " has room for it in time",
        null,
        RoomForecast.cappedRetryMillis(refused.retryAfterMillis(), remaining));
  }

  @Override
  public String unreachable(String reason) {
    RefusalKind kind = state.receivedFromPeer ? RefusalKind.UNREACHABLE : RefusalKind.UNAVAILABLE;
    return refuseAsNotRun(kind, reason, null);
  }

  private String refuseAsNotRun(RefusalKind kind, String reason, @Nullable Long retryAfterMillis) {
    return refuse(
        new Refusal(
            kind,
            "The request was not run: " + reason + ".",
            retryAfterMillis == null ? path.pools().retryAfterMillis(state) : retryAfterMillis));
  }

  @Override
  public String timeOut() {
    if (state.response.hasStarted()) {
      state.response.openOwn().abort();
      return "timed-out";
    }
    return state.possibleRuns == 0
        ? giveUp("its deadline passed", null, null)
        : refuse(Refusal.of(RefusalKind.TIMED_OUT, "The request timed out."));
  }

  private String refuse(Refusal refusal) {
    state.response.openOwn().reply(path.render(state, refusal));
    if (refusal.kind().guaranteesNotRun()) {
      path.onNotRun(state);
    }
    return refusal.kind().name();
  }
}
