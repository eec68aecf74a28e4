package org.lockdale.soak.judge;

import java.util.List;

/** Rules on requests that are hardly served. */
final class StarvationRules {

  /** Least share of a kind of request that is served, of the share of all requests. */
  private static final double MIN_SHARE = 0.25;

  /** A smaller number of requests falls below the share by chance too often. */
  private static final int MIN_SENT = 20;

  private StarvationRules() {}

  /**
   * Checks rule STARVED: once servers that crashed are back, a request that is the same each time
   * and crashes none is served at least a quarter as often as all requests.
   */
  static List<RuleBreak> repeatedRequests(History history) {
    RepeatedRequestCounts counts = RepeatedRequestCounts.of(history);
    boolean isStarved =
        counts.repeated().sent() >= MIN_SENT
            && counts.repeated().ratio() < MIN_SHARE * counts.all().ratio();
    return isStarved
        ? List.of(new RuleBreak("STARVED", "the repeated request", counts.toString()))
        : List.of();
  }
}
