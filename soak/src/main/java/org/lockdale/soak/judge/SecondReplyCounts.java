package org.lockdale.soak.judge;

/**
 * Counts of second replies, and of requests that did not receive in time what a server had made.
 *
 * @param toRequests second replies to callers' requests
 * @param toCalls second replies to calls of nodes
 * @param overdue requests whose caller waited a second or more for a success after a server had
 *     written it, and received it only then, or something else
 */
public record SecondReplyCounts(int toRequests, int toCalls, int overdue) {

  private static final long OVERDUE_MILLIS = 1_000;
  private static final int OK = 200;

  /** Returns the counts of a history. */
  public static SecondReplyCounts of(History history) {
    long calls =
        history.secondReplies().stream().filter(reply -> reply.what().startsWith("/")).count();
    long overdue =
        history.requests().stream().filter(request -> isOverdue(history, request)).count();
    return new SecondReplyCounts(
        history.secondReplies().size() - (int) calls, (int) calls, (int) overdue);
  }

  private static boolean isOverdue(History history, RequestHistory request) {
    long endMillis = responseEndMillis(request);
    return request.runs().stream()
        .map(run -> history.end(run.run()))
        .anyMatch(
            end ->
                end != null
                    && end.whole()
                    && end.status() == OK
                    && endMillis - end.atMillis() >= OVERDUE_MILLIS);
  }

  /** Returns when the caller read the response or gave the request up; 0 if it did neither. */
  private static long responseEndMillis(RequestHistory request) {
    Note.Answered response = request.response();
    if (response != null) {
      return response.atMillis();
    }
    Note.Left left = request.left();
    return left == null ? 0 : left.atMillis();
  }

  @Override
  public String toString() {
    return "second-replies="
        + toRequests
        + " second-replies-to-calls="
        + toCalls
        + " overdue="
        + overdue;
  }
}
