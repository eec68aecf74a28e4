package org.lockdale.soak.judge;

import java.util.List;

/** Something that must hold of every history. */
@FunctionalInterface
interface Rule {

  /** Returns where a history breaks the rule; empty if it holds. */
  List<RuleBreak> breaks(History history);
}
