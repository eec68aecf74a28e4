package org.lockdale.emulator.history;

import java.util.List;

/**
 * Result of checking a history.
 *
 * @param calls calls checked
 * @param runs runs checked
 * @param violations violated guarantees, described in one sentence each
 */
public record Verdict(int calls, int runs, List<String> violations) {

  /** Returns whether no guarantee was violated. */
  public boolean passed() {
    return violations.isEmpty();
  }
}
