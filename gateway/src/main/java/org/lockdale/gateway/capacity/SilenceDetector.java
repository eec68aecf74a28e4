package org.lockdale.gateway.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Detects engines that have stopped responding to all nodes, such as a quarter of a fleet whose
 * processes hang without closing their connections. A single node has too few attempts at an engine
 * to distinguish a hanging engine from one that computes a long prompt, so the reports of all nodes
 * are combined. Performs no I/O; the time is passed in. Not thread-safe.
 */
final class SilenceDetector {

  /**
   * Shortest silence, above the 500 ms by which streams may pause and stay in time: an engine that
   * computes a long prompt delays an event of several tokens by nearly as much.
   */
  static final long MIN_SILENCE_MILLIS = 600;

  /** Stands for an engine that is not judged, since its usual time is not known. */
  static final long NOT_JUDGED = Long.MAX_VALUE;

  /**
   * A node that was hearing the engine in its last report is assumed to still hear it for this
   * long, which allows for two lost reports.
   */
  private static final long HEARING_MILLIS = 600;

  /**
   * Quiet times are reported every 100 ms and grow between the reports; after this, the next
   * reports were lost and the node may have heard the engine.
   */
  private static final long GROWTH_MILLIS = 300;

  private static final int WITNESSES = 2;

  /** Attempts that are required where a single node has attempts at an engine. */
  private static final int ATTEMPTS_OF_ONE_NODE = 3;

  /**
   * A silent engine.
   *
   * @param sinceMillis time at which it was found silent
   * @param heardAtMillis time at which it had been heard last
   * @param idle whether no node has an attempt there, so that it could not be heard
   */
  record Silence(long sinceMillis, long heardAtMillis, boolean idle) {}

  private final UseReports reports;
  private final Map<String, Silence> silences = new HashMap<>();

  /**
   * Creates a detector.
   *
   * @param reports use that each node makes of each engine
   */
  SilenceDetector(UseReports reports) {
    this.reports = reports;
  }

  /** Drops the state of engines that are not among those given. */
  void retain(Set<String> engines) {
    silences.keySet().retainAll(engines);
  }

  /**
   * Returns the silent engines.
   *
   * @param thresholdOf returns the silence that is required of an engine, in milliseconds; {@link
   *     #NOT_JUDGED} where its usual time is not known
   * @param nowMillis monotonic time in milliseconds
   */
  Map<String, Silence> evaluate(ToLongFunction<String> thresholdOf, long nowMillis) {
    Set<String> engines = reports.engines();
    engines.addAll(silences.keySet());
    for (String engine : engines) {
      Silence known = silences.get(engine);
      long threshold = thresholdOf.applyAsLong(engine);
      if (known == null) {
        if (threshold != NOT_JUDGED && isSilent(engine, threshold, nowMillis)) {
          silences.put(
              engine,
              new Silence(nowMillis, reports.heardAtMillis(engine), isIdle(engine, nowMillis)));
        }
      } else if (isHeardAgain(engine, known, nowMillis)) {
        silences.remove(engine);
      } else {
        silences.put(
            engine,
            new Silence(known.sinceMillis(), known.heardAtMillis(), isIdle(engine, nowMillis)));
      }
    }
    return Map.copyOf(silences);
  }

  private boolean isHeardAgain(String engine, Silence silence, long nowMillis) {
    long heard = reports.heardAtMillis(engine);
    // A report that is processed late shifts the time of the former hearing a little.
    return heard > silence.heardAtMillis() && nowMillis - heard < MIN_SILENCE_MILLIS;
  }

  private boolean isIdle(String engine, long nowMillis) {
    return reports.of(engine, nowMillis).isEmpty();
  }

  private boolean isSilent(String engine, long thresholdMillis, long nowMillis) {
    if (nowMillis - reports.heardAtMillis(engine) < thresholdMillis) {
      return false;
    }
    int nodes = 0;
    int witnesses = 0;
    int attempts = 0;
    for (UseReports.Report report : reports.of(engine, nowMillis)) {
      if (isHearing(report)) {
        return false;
      }
      nodes++;
      attempts += report.use().openRequests();
      if (quietMillis(report) >= thresholdMillis) {
        witnesses++;
      }
    }
    return witnesses >= WITNESSES
        || nodes == 1 && witnesses == 1 && attempts >= ATTEMPTS_OF_ONE_NODE;
  }

  private static boolean isHearing(UseReports.Report report) {
    long heardAge = report.use().heardAgeMillis();
    boolean recently = heardAge >= 0 && heardAge < ObservationSchedule.QUIET_MILLIS;
    return recently && report.ageMillis() < HEARING_MILLIS;
  }

  private static long quietMillis(UseReports.Report report) {
    long quiet = report.use().quietMillis();
    boolean grows =
        quiet >= ObservationSchedule.QUIET_MILLIS && report.ageMillis() <= GROWTH_MILLIS;
    return grows ? quiet + report.ageMillis() : quiet;
  }
}
