package org.lockdale.soak.judge;

/**
 * What requests that end the servers which run them have done in a run. A rule is broken by the
 * worst of many runs only; these counts tell two codes apart in a few.
 *
 * @param ends servers that ended of a request
 * @param lateSends sends a second or more after the third end of their request, by any node
 * @param mostLateSends most of them of one request
 * @param boundLateSends most sends of one request that count for the rule on them
 * @param revived how often a node said of a server that it lived after its end
 */
public record CrashCounts(
    int ends, int lateSends, int mostLateSends, int boundLateSends, int revived) {

  private static final long LATE_MILLIS = 1_000;

  /** Counts what a history holds. */
  public static CrashCounts of(History history) {
    var late = CrashRules.lateSends(history, LATE_MILLIS, false).values();
    var bound = CrashRules.lateSends(history, history.bounds().contactMillis(), true).values();
    return new CrashCounts(
        history.crashes().size(),
        late.stream().mapToInt(Integer::intValue).sum(),
        late.stream().mapToInt(Integer::intValue).max().orElse(0),
        bound.stream().mapToInt(Integer::intValue).max().orElse(0),
        CrashRules.revived(history).size());
  }

  @Override
  public String toString() {
    return "ends="
        + ends
        + " late-sends="
        + lateSends
        + " most-late-sends="
        + mostLateSends
        + " bound-late-sends="
        + boundLateSends
        + " revived="
        + revived;
  }
}
