package org.lockdale.soak.judge;

import org.jspecify.annotations.Nullable;

/**
 * Compares the request that is the same each time with all requests, of those that were sent more
 * than {@link #RECOVERY_MILLIS} after the last outage and the last crash of a server.
 *
 * @param repeated the request that is the same each time
 * @param all all requests
 */
public record RepeatedRequestCounts(Share repeated, Share all) {

  /** Time after a disruption within which the deployments have to serve again. */
  private static final long RECOVERY_MILLIS = 12_000;

  private static final int OK = 200;

  /**
   * How many requests were served.
   *
   * @param sent number of requests that callers sent and did not give up
   * @param served number of those that were answered with a complete success
   */
  public record Share(int sent, int served) {

    private static final Share NONE = new Share(0, 0);

    private Share with(boolean isServed) {
      return new Share(sent + 1, served + (isServed ? 1 : 0));
    }

    double ratio() {
      return sent == 0 ? 0 : (double) served / sent;
    }

    @Override
    public String toString() {
      return served + "/" + sent;
    }
  }

  /** Returns the counts of a history. */
  public static RepeatedRequestCounts of(History history) {
    long lastCrash = history.crashes().stream().mapToLong(Note.Crashed::atMillis).max().orElse(0);
    long from = Math.max(history.lastOutageEndMillis(), lastCrash);
    RepeatedRequestCounts counts = new RepeatedRequestCounts(Share.NONE, Share.NONE);
    if (from == Long.MAX_VALUE) {
      return counts;
    }
    for (RequestHistory request : history.requests()) {
      counts = counts.with(request, from + RECOVERY_MILLIS);
    }
    return counts;
  }

  private RepeatedRequestCounts with(RequestHistory request, long fromMillis) {
    Note.Sent sent = request.sent();
    Note.Answered response = request.response();
    if (sent == null || response == null || sent.atMillis() < fromMillis) {
      return this;
    }
    boolean served = isServed(response);
    return new RepeatedRequestCounts(
        sent.facts().isRepeated() ? repeated.with(served) : repeated, all.with(served));
  }

  private static boolean isServed(Note.@Nullable Answered response) {
    return response != null && response.status() == OK && response.whole();
  }

  @Override
  public String toString() {
    return "repeated-after-recovery=" + repeated + " all=" + all;
  }
}
