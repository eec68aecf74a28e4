package org.lockdale.gateway.admission;

/** Prompt tokens that wait at an engine, by priority. Immutable. */
public final class WaitingTokens {

  /** Number of priorities; those beyond count as the last one. */
  static final int PRIORITIES = 10;

  /** No waiting tokens. */
  public static final WaitingTokens NONE = new WaitingTokens(new long[PRIORITIES]);

  private final long[] sums;

  private WaitingTokens(long[] sums) {
    this.sums = sums;
  }

  /** Returns an instance with the tokens of each priority, the most urgent first. */
  static WaitingTokens of(long[] tokens) {
    long[] sums = new long[PRIORITIES];
    long sum = 0;
    for (int priority = 0; priority < PRIORITIES; priority++) {
      sum += tokens[priority];
      sums[priority] = sum;
    }
    return new WaitingTokens(sums);
  }

  /** Returns an instance with all tokens at the most urgent priority. */
  public static WaitingTokens urgent(long tokens) {
    long[] byPriority = new long[PRIORITIES];
    byPriority[0] = tokens;
    return of(byPriority);
  }

  /** Returns the tokens that wait with the given or a more urgent priority. */
  long upTo(int priority) {
    return sums[index(priority)];
  }

  static int index(int priority) {
    return Math.max(0, Math.min(PRIORITIES - 1, priority));
  }
}
