package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.ResponseHead;

/**
 * Why the head of a response ends its attempt.
 *
 * @param result result of the attempt
 * @param reason reason for messages
 * @param abandons whether the call is cancelled, since the rest of its response is of no use
 */
record HeadRejection(AttemptResult result, String reason, boolean abandons) {

  private static final HeadRejection MISDIRECTED =
      new HeadRejection(
          AttemptResult.MISDIRECTED,
          "the backend is another incarnation or has other weights than intended",
          false);

  private static final HeadRejection NOT_RUN =
      new HeadRejection(AttemptResult.NOT_RUN, "the backend accepts no requests now", false);

  private static final HeadRejection NOT_AUTHENTIC =
      new HeadRejection(AttemptResult.FAILED, "its response has no proof of origin", true);

  /** Returns why a head ends its attempt, or null if it does not. */
  static @Nullable HeadRejection of(ResponseHead head) {
    if (head.misdirected()) {
      return MISDIRECTED;
    }
    if (head.notRun()) {
      return NOT_RUN;
    }
    return head.isSuccess() && !head.authentic() ? NOT_AUTHENTIC : null;
  }
}
