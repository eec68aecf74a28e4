package org.lockdale.gateway.placement;

import java.util.HashMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Logs the division of engines and how many requests leave their zone or are served by engines of
 * the other kind. At most one line of each event for each pool and interval. Thread-safe.
 */
final class PlacementLog {

  private static final long SPILL_INTERVAL_MILLIS = 10_000;
  private static final long DIVISION_INTERVAL_MILLIS = 2_000;

  private static final class Counts {
    long placed;
    long otherZone;
    long otherKind;
    long sinceMillis;
    long dividedAtMillis = Long.MIN_VALUE / 2;
  }

  private final Map<String, Counts> byPool = new HashMap<>();

  synchronized void recordPlacement(
      String pool, boolean otherZone, boolean otherKind, long nowMillis) {
    Counts counts = byPool.computeIfAbsent(pool, name -> new Counts());
    if (counts.placed == 0) {
      counts.sinceMillis = nowMillis;
    }
    counts.placed++;
    counts.otherZone += otherZone ? 1 : 0;
    counts.otherKind += otherKind ? 1 : 0;
    if (nowMillis - counts.sinceMillis >= SPILL_INTERVAL_MILLIS) {
      Logger.info(
          "event=placement-spill pool={} placed={} other-zone={} other-kind={}",
          pool,
          counts.placed,
          counts.otherZone,
          counts.otherKind);
      counts.placed = 0;
      counts.otherZone = 0;
      counts.otherKind = 0;
    }
  }

  synchronized void recordDivision(String pool, double shortShare, int engines, long nowMillis) {
    Counts counts = byPool.computeIfAbsent(pool, name -> new Counts());
    if (nowMillis - counts.dividedAtMillis >= DIVISION_INTERVAL_MILLIS) {
      counts.dividedAtMillis = nowMillis;
      Logger.info(
          "event=placement-division pool={} engines={} short-share={}",
          pool,
          engines,
          Math.round(shortShare * 1_000) / 1_000.0);
    }
  }
}
