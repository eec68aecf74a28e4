package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.placement.PlacementResult;
import org.lockdale.http.HttpReply;

/**
 * Checks the responses of requests that are given up.
 *
 * @param invariants checks the responses
 * @param state the request
 */
record SimulatedEnding(RequestInvariants invariants, RequestState state) implements RequestEnding {

  @Override
  public String giveUp(
      String reason, @Nullable HttpReply backendFailure, @Nullable Long retryAfterMillis) {
    invariants.givenUp(isToldNotRun());
    return "given-up";
  }

  @Override
  public String refuse(PlacementResult.Refused refused) {
    invariants.givenUp(isToldNotRun());
    return "refused";
  }

  @Override
  public String unreachable(String reason) {
    invariants.givenUp(true);
    return "unreachable";
  }

  @Override
  public String timeOut() {
    invariants.givenUp(isToldNotRun());
    return "timed-out";
  }

  private boolean isToldNotRun() {
    return state.possibleRuns == 0 && !state.response.hasStarted();
  }
}
