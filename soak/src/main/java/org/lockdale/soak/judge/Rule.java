package org.lockdale.soak.judge;

import java.util.List;

/** A condition that must hold for every history. */
@FunctionalInterface
interface Rule {

  /** Returns the violations of the rule in a history; empty if it holds. */
  List<RuleBreak> check(History history);
}
