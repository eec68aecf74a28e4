package org.lockdale.gateway.placement;

/**
 * Share of a pool's engines that is preferred for short prompts. It follows the work of short and
 * long prompts, by at most one engine in each interval, since every engine that changes its kind
 * makes the prompts of its former kind recompute their shared parts elsewhere. Not thread-safe.
 */
final class EngineDivision {

  /** Shortest time between two changes, in milliseconds. */
  static final long CHANGE_INTERVAL_MILLIS = 500;

  /**
   * Utilization that short prompts should stay under. They have the shorter objectives, and their
   * rate can double within a second.
   */
  private static final double SHORT_UTILIZATION = 0.5;

  /** Utilization that long prompts should stay under; they can wait longer. */
  private static final double LONG_UTILIZATION = 0.8;

  /**
   * Difference to the wanted share, in engines, from which the share changes. Above 1, so that a
   * change is not reversed by the next estimate.
   */
  private static final double HYSTERESIS_ENGINES = 1.5;

  private double share;
  private long changedAtMillis;

  /** Returns the share of engines that short prompts need for given work of both kinds. */
  static double wantedShare(double shortWork, double longWork) {
    double forShort = shortWork / SHORT_UTILIZATION;
    double forLong = longWork / LONG_UTILIZATION;
    return forShort + forLong > 0 ? forShort / (forShort + forLong) : 0;
  }

  /**
   * Updates the share.
   *
   * @param wanted share that the work asks for, 0 to 1
   * @param stepShare share of the smallest engine in the speeds of all, 0 to 1; a change by it
   *     moves one engine at most
   * @param nowMillis monotonic time in milliseconds
   * @return whether the share changed
   */
  boolean update(double wanted, double stepShare, long nowMillis) {
    if (share == 0) {
      share = wanted;
      changedAtMillis = nowMillis;
      return share > 0;
    }
    double difference = wanted - share;
    if (nowMillis - changedAtMillis < CHANGE_INTERVAL_MILLIS
        || Math.abs(difference) < HYSTERESIS_ENGINES * stepShare) {
      return false;
    }
    share += Math.copySign(stepShare, difference);
    changedAtMillis = nowMillis;
    return true;
  }

  /** Returns the share for short prompts, 0 to 1; 0 while the engines are not divided. */
  double share() {
    return share;
  }

  /**
   * Returns the number of engines for short prompts: those whose speeds add up to the share. Each
   * kind keeps at least one engine.
   *
   * @param rankedSpeeds speeds of the engines, the first ones for short prompts; at least two
   */
  static int count(double[] rankedSpeeds, double share) {
    double total = 0;
    for (double speed : rankedSpeeds) {
      total += speed;
    }
    double target = share * total;
    double sum = 0;
    int count = 0;
    while (count < rankedSpeeds.length && sum + rankedSpeeds[count] / 2 < target) {
      sum += rankedSpeeds[count];
      count++;
    }
    return Math.max(1, Math.min(rankedSpeeds.length - 1, count));
  }
}
