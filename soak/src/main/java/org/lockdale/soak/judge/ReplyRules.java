package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Rules on replies that were taken for the reply to another request, call or order. */
final class ReplyRules {

  /** Statuses of a server's reply to an order, by the outcome that a node logs for them. */
  private static final Map<String, Set<Integer>> STATUSES =
      Map.of(
          "ACCEPTED", Set.of(202),
          "ALREADY_HELD", Set.of(200),
          "CONFLICT", Set.of(409),
          "FENCED", Set.of(412),
          "REJECTED", Set.of(400, 421));

  /** Longest time from a server's reply to an order until its node has logged the outcome. */
  private static final long MAX_LOG_DELAY_MILLIS = 2_000;

  /** Tolerance of the times of a node's log, which count by another clock. */
  private static final long CLOCK_SLACK_MILLIS = 100;

  private ReplyRules() {}

  /**
   * Checks rule MIXED: nobody takes a reply that belongs to no request or call, or to another one.
   */
  static List<RuleBreak> misplacedReplies(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (Note.ForeignReply reply : history.foreignReplies()) {
      violations.add(new RuleBreak("MIXED", reply.request(), "received " + reply.text()));
    }
    for (Note.SecondReplyUsed used : history.usedSecondReplies()) {
      violations.add(
          new RuleBreak(
              "MIXED", used.server(), "a node's call of " + used.path() + " " + used.reason()));
    }
    return violations;
  }

  /** Checks rule MIXED: nodes take only a server's reply to an order for that reply. */
  static List<RuleBreak> orderOutcomes(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (Note.OrderLogged outcome : history.orderOutcomes()) {
      Set<Integer> statuses = STATUSES.get(outcome.outcome());
      if (statuses != null
          && history.isFullyRecorded(outcome.atMillis())
          && history.orderAnswers().stream()
              .noneMatch(answer -> matches(answer, outcome, statuses))) {
        violations.add(
            new RuleBreak(
                "MIXED",
                outcome.server(),
                outcome.node()
                    + " takes an order of version "
                    + outcome.version()
                    + " for "
                    + outcome.outcome()
                    + ", which the server did not reply"));
      }
    }
    return violations;
  }

  private static boolean matches(
      Note.OrderAnswered answer, Note.OrderLogged outcome, Set<Integer> statuses) {
    long delayMillis = outcome.atMillis() - answer.atMillis();
    return answer.server().equals(outcome.server())
        && answer.version() == outcome.version()
        && statuses.contains(answer.status())
        && delayMillis >= -CLOCK_SLACK_MILLIS
        && delayMillis <= MAX_LOG_DELAY_MILLIS;
  }
}
