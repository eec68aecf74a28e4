package org.lockdale.gateway.backend;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Head of a backend's HTTP response.
 *
 * @param status HTTP status code
 * @param headers headers to forward to the caller
 * @param notRun whether the backend reports that it did not and will not run the request
 * @param misdirected whether the backend is another incarnation, or holds other weights, than the
 *     request expected
 * @param authentic whether the response carries the backend's proof that it comes from that backend
 * @param eventStream whether the body is a stream of events
 * @param weights version of the weights that serve the request, or null where it is not given
 * @param advertisedRate the rate limit that the response advertises
 * @param draining whether the response announces that the backend is draining
 * @param requestedBackoff the backoff that the backend requests from this node
 */
public record ResponseHead(
    int status,
    HttpHeaders headers,
    boolean notRun,
    boolean misdirected,
    boolean authentic,
    boolean eventStream,
    @Nullable Long weights,
    AdvertisedRate advertisedRate,
    boolean draining,
    RequestedBackoff requestedBackoff) {

  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);
  private static final int SUCCESS_CLASS = 2;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int CLASS_SIZE = 100;

  /** Returns whether callers would conclude from the status that the request has not run. */
  public boolean impliesNotRun() {
    return NOT_RUN_STATUSES.contains(status);
  }

  /** Returns the status in words, for messages about the backend. */
  public String summary() {
    return "it responded with status " + status;
  }

  /** Returns whether the response is a success. */
  public boolean isSuccess() {
    return status / CLASS_SIZE == SUCCESS_CLASS;
  }

  /** Returns whether the backend failed to serve the request. */
  public boolean isServerError() {
    return status >= FIRST_SERVER_ERROR;
  }
}
