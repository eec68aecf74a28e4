package org.lockdale.soak.judge;

/**
 * Counts of crashes that requests caused in a run, and of sends that followed. The rules are
 * violated only in the worst of many runs; these counts show a difference between two versions of
 * the code after a few runs.
 *
 * @param ends crashes of servers that were caused by requests
 * @param lateSends sends by any node more than a second after the third crash that the request
 *     caused
 * @param mostLateSends maximum of the late sends of one request
 * @param boundLateSends maximum of the sends of one request that count towards the limit of the
 *     rule
 * @param partLateSends sends of requests with the crashing part by any node more than a second
 *     after the fifth crash that they caused
 * @param revived how often a node reported that a server was alive after its crash
 */
public record CrashCounts(
    int ends,
    int lateSends,
    int mostLateSends,
    int boundLateSends,
    int partLateSends,
    int revived) {

  private static final long LATE_MILLIS = 1_000;

  /** Returns the counts of a history. */
  public static CrashCounts of(History history) {
    var late = CrashRules.lateSends(history, LATE_MILLIS, false).values();
    var bound = CrashRules.lateSends(history, history.bounds().contactMillis(), true).values();
    return new CrashCounts(
        history.crashes().size(),
        late.stream().mapToInt(Integer::intValue).sum(),
        late.stream().mapToInt(Integer::intValue).max().orElse(0),
        bound.stream().mapToInt(Integer::intValue).max().orElse(0),
        CrashRules.lateSendsOfPart(history, LATE_MILLIS, false),
        CrashRules.livenessAfterCrash(history).size());
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
        + " part-late-sends="
        + partLateSends
        + " revived="
        + revived;
  }
}
