package org.lockdale.gateway.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Latest use that each node reported of each engine. Performs no I/O; the time is passed in. Not
 * thread-safe.
 */
final class UseReports {

  /**
   * A report is no longer counted after this: its node reports open attempts every 500 ms, so it
   * has ended or is cut off.
   */
  private static final long EXPIRY_MILLIS = 1_500;

  /**
   * A report.
   *
   * @param use what the node reported
   * @param ageMillis time since it was received, in milliseconds
   */
  record Report(EngineUse use, long ageMillis) {}

  private record Received(EngineUse use, long atMillis) {}

  private final Map<String, Map<String, Received>> byEngine = new HashMap<>();
  private final Map<String, Long> heardAt = new HashMap<>();

  /** Processes the use that a node makes of an engine. */
  void accept(String node, EngineUse use, long nowMillis) {
    String engine = use.engine();
    if (use.heardAgeMillis() >= 0) {
      heardAt.merge(engine, nowMillis - use.heardAgeMillis(), Math::max);
    }
    Map<String, Received> byNode = byEngine.computeIfAbsent(engine, id -> new HashMap<>());
    if (use.openRequests() == 0) {
      byNode.remove(node);
    } else {
      byNode.put(node, new Received(use, nowMillis));
    }
  }

  /** Drops what has expired and the reports on engines that are not among those given. */
  void retain(Set<String> engines, long nowMillis) {
    byEngine.keySet().retainAll(engines);
    heardAt.keySet().retainAll(engines);
    for (Map<String, Received> byNode : byEngine.values()) {
      byNode.values().removeIf(report -> nowMillis - report.atMillis() > EXPIRY_MILLIS);
    }
  }

  /** Returns the reports of nodes with open attempts at an engine. */
  List<Report> of(String engine, long nowMillis) {
    List<Report> reports = new ArrayList<>();
    for (Received report : byEngine.getOrDefault(engine, Map.of()).values()) {
      long age = nowMillis - report.atMillis();
      if (age <= EXPIRY_MILLIS) {
        reports.add(new Report(report.use(), age));
      }
    }
    return reports;
  }

  /** Returns the engines of which there are reports. */
  Set<String> engines() {
    return new HashSet<>(byEngine.keySet());
  }

  /** Returns the tokens that the open attempts of all nodes reserve at an engine. */
  long reservedTokens(String engine, long nowMillis) {
    return of(engine, nowMillis).stream().mapToLong(report -> report.use().reservedTokens()).sum();
  }

  /** Returns the time at which any node heard an engine last; far in the past if none did. */
  long heardAtMillis(String engine) {
    return heardAt.getOrDefault(engine, EngineObservations.NEVER);
  }
}
