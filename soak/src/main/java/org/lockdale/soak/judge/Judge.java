package org.lockdale.soak.judge;

import java.util.List;

/** Checks a history against all rules. */
public final class Judge {

  private static final List<Rule> RULES =
      List.of(
          RunRules::twice,
          RunRules::refused,
          RunRules::unasked,
          AnswerRules::mixed,
          AnswerRules::order,
          MemoryRules::stale,
          MemoryRules::wall,
          MemoryRules::version,
          ConfigurationRules::route,
          ConfigurationRules::late,
          ConfigurationRules::regress,
          ConfigurationRules::revoked,
          ConfigurationRules::denied,
          ConfigurationRules::unanswered,
          LoadRules::drain,
          LoadRules::retries,
          LoadRules::attempts,
          LoadRules::deadlines,
          LoadRules::gone,
          CrashRules::repeats,
          CrashRules::revived,
          RateRules::limit,
          StatementRules::leaving,
          StatementRules::rest,
          OrderRules::one);

  private Judge() {}

  /** Returns all broken rules of a history. */
  public static List<RuleBreak> breaks(History history) {
    return RULES.stream().flatMap(rule -> rule.breaks(history).stream()).toList();
  }
}
