package org.lockdale.soak.judge;

import java.util.List;

/** Checks a history against all rules. */
public final class RuleChecker {

  private static final List<Rule> RULES =
      List.of(
          RunRules::duplicateRuns,
          RunRules::runsDespiteRejection,
          RunRules::unrequestedRuns,
          ResponseRules::mixedResponses,
          ResponseRules::streamOrder,
          ReplyRules::misplacedReplies,
          ReplyRules::orderOutcomes,
          SoftwareVersionRules::mixedStreams,
          TakeUpRules::resumedShare,
          StarvationRules::repeatedRequests,
          ModelRules::staleCachedParts,
          ModelRules::tenantIsolation,
          ModelRules::outdatedWeights,
          ConfigurationRules::wrongService,
          ConfigurationRules::lateConfiguration,
          ConfigurationRules::configurationRegression,
          ConfigurationRules::revokedKeys,
          ConfigurationRules::wrongDenials,
          ConfigurationRules::overdueResponses,
          LoadRules::sendsToDrained,
          LoadRules::retryBudget,
          LoadRules::concurrentAttempts,
          LoadRules::excessiveDeadlines,
          LoadRules::abandonedRequests,
          CrashRules::retriesAfterCrashes,
          CrashRules::sendsOfCrashingPart,
          CrashRules::livenessAfterCrash,
          RateRules::rateLimit,
          AnnouncementRules::drainAnnouncements,
          AnnouncementRules::backoffRequests,
          LeaseRules::singleHolder);

  private RuleChecker() {}

  /** Returns all rule violations of a history. */
  public static List<RuleBreak> check(History history) {
    return RULES.stream().flatMap(rule -> rule.check(history).stream()).toList();
  }
}
