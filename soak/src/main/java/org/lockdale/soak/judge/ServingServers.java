package org.lockdale.soak.judge;

import java.util.HashMap;
import java.util.Map;

/**
 * Servers that were certainly serving within a span: those that began runs before and after it and
 * neither drained nor limited what they accept.
 */
final class ServingServers {

  private record RunTimes(long first, long last) {

    RunTimes including(RunTimes other) {
      return new RunTimes(Math.min(first, other.first), Math.max(last, other.last));
    }
  }

  private final History history;
  private final Map<String, RunTimes> runTimes = new HashMap<>();
  private final Map<String, String> services = new HashMap<>();

  ServingServers(History history) {
    this.history = history;
    for (RequestHistory request : history.requests()) {
      for (Note.Begun run : request.runs()) {
        RunTimes time = new RunTimes(run.atMillis(), run.atMillis());
        runTimes.merge(run.server(), time, RunTimes::including);
        services.put(run.server(), run.service());
      }
    }
  }

  /** Returns the number of servers with the version and service of a run that served in a span. */
  long countLike(Note.Begun run, long from, long until) {
    String softwareVersion = SoftwareVersions.of(run.server());
    return runTimes.entrySet().stream()
        .filter(entry -> services.get(entry.getKey()).equals(run.service()))
        .filter(entry -> SoftwareVersions.of(entry.getKey()).equals(softwareVersion))
        .filter(entry -> entry.getValue().first() <= from && entry.getValue().last() >= until)
        .map(Map.Entry::getKey)
        .filter(server -> history.isUndisrupted(server, from, until))
        .filter(server -> history.drainAcknowledgedMillis(server) > until)
        .filter(server -> !hasLimitedItself(server, from, until))
        .count();
  }

  private boolean hasLimitedItself(String server, long from, long until) {
    return history.drainAnnouncements().stream()
            .anyMatch(told -> told.server().equals(server) && told.atMillis() <= until)
        || history.backoffRequests().stream()
            .filter(told -> told.server().equals(server))
            .anyMatch(
                told -> told.atMillis() <= until && told.atMillis() + told.restMillis() >= from)
        || hasAdvertisedRate(server, from, until);
  }

  /** Returns whether a server advertised a rate within a span or began to do so before it. */
  private boolean hasAdvertisedRate(String server, long from, long until) {
    boolean advertises = false;
    for (Note.RateNamed change : history.rateChanges()) {
      if (change.server().equals(server) && change.atMillis() <= until) {
        advertises = change.perSecond() != null || advertises && change.atMillis() >= from;
      }
    }
    return advertises;
  }
}
