package org.lockdale.soak.run;

import java.util.List;
import org.lockdale.soak.judge.RuleBreak;

/**
 * The result of a run.
 *
 * @param seed seed of the plan
 * @param faults number of injected faults
 * @param sent number of requests that callers sent
 * @param served number of requests with a complete response of status 200
 * @param counts all counts as text
 * @param breaks rule violations; empty for none
 */
public record SoakResult(
    long seed, int faults, int sent, int served, String counts, List<RuleBreak> breaks) {

  /** Copies the list of violations. */
  public SoakResult {
    breaks = List.copyOf(breaks);
  }

  /** Returns a line of counts, followed by a line for each rule violation. */
  public String text() {
    StringBuilder text = new StringBuilder("seed=" + seed + " faults=" + faults + " " + counts);
    text.append(" breaks=").append(breaks.size()).append('\n');
    breaks.forEach(violation -> text.append("  ").append(violation).append('\n'));
    return text.toString();
  }
}
