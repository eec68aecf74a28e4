package org.lockdale.emulator.history;

import java.util.List;

/**
 * What a checker found.
 *
 * @param calls calls judged
 * @param runs runs judged
 * @param violations broken promises, one sentence each
 */
public record Verdict(int calls, int runs, List<String> violations) {

  /** Returns whether no promise was broken. */
  public boolean holds() {
    return violations.isEmpty();
  }
}
