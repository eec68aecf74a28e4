package org.lockdale.soak.run;

import java.util.List;
import org.lockdale.soak.judge.RuleBreak;

/**
 * What came out of a run.
 *
 * @param seed seed of its plan
 * @param faults faults that were injected
 * @param sent requests that callers sent
 * @param served requests that were answered with a whole success
 * @param counts all counts as text
 * @param breaks rules that were broken; empty for none
 */
public record SoakResult(
    long seed, int faults, int sent, int served, String counts, List<RuleBreak> breaks) {

  /** Copies the breaks. */
  public SoakResult {
    breaks = List.copyOf(breaks);
  }

  /** Returns a line of counts and a line for each break. */
  public String text() {
    StringBuilder text = new StringBuilder("seed=" + seed + " faults=" + faults + " " + counts);
    text.append(" breaks=").append(breaks.size()).append('\n');
    breaks.forEach(broken -> text.append("  ").append(broken).append('\n'));
    return text.toString();
  }
}
