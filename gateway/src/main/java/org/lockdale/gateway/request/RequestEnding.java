package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.placement.PlacementResult;
import org.lockdale.http.HttpReply;

/** Sends the response of a request that this node gives up on. */
interface RequestEnding {

  /**
   * Responds to a request for which nothing is left to try.
   *
   * @param reason reason for messages
   * @param backendFailure complete failure response of the last backend, or null if there is none
   * @param retryAfterMillis time after which the caller should retry, in milliseconds; null for the
   *     estimate of the pool's queue
   * @return the outcome of the request
   */
  String giveUp(String reason, @Nullable HttpReply backendFailure, @Nullable Long retryAfterMillis);

  /**
   * Responds to a request that no engine can serve in its time.
   *
   * @return the outcome of the request
   */
  String refuse(PlacementResult.Refused refused);

  /**
   * Responds to a request for which no backend could be connected to.
   *
   * @return the outcome of the request
   */
  String unreachable(String reason);

  /**
   * Responds to a request whose deadline has passed.
   *
   * @return the outcome of the request
   */
  String timeOut();
}
