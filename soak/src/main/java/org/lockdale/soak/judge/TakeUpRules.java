package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.List;

/** Rules on streams that callers take up. */
final class TakeUpRules {

  /** Least part of the streams that would go on as often as new ones begin. */
  private static final double MIN_SHARE = 0.5;

  /** A smaller number of expected streams falls below the share by chance too often. */
  private static final int MIN_EXPECTED = 40;

  private TakeUpRules() {}

  /**
   * Checks rule RESUME: while two servers of their software version serve and the node asked is in
   * touch with the store, streams that callers take up go on at least half as often as new ones
   * begin.
   */
  static List<RuleBreak> resumedShare(History history) {
    TakenUpStreams streams = TakenUpStreams.of(history);
    List<RuleBreak> violations = new ArrayList<>();
    check("all", streams.all(), violations);
    check("taken up after all nodes started again", streams.afterRestart(), violations);
    return violations;
  }

  private static void check(
      String subject, TakenUpStreams.Share share, List<RuleBreak> violations) {
    if (share.expected() >= MIN_EXPECTED && share.wentOn() < MIN_SHARE * share.expected()) {
      violations.add(
          new RuleBreak("RESUME", subject, "resumed/expected/counted streams: " + share));
    }
  }
}
