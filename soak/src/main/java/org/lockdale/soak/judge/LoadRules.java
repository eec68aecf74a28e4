package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Rules on the load that nodes may put on servers. */
final class LoadRules {

  /** Number of violations of one kind that are tolerated in a run. */
  private static final int MAX_TOLERATED = 3;

  /** Time after a caller's close by which servers must have stopped, in milliseconds. */
  private static final long CLOSE_SLACK_MILLIS = 500;

  /** Tolerance by which the time given to a server may exceed the caller's, in milliseconds. */
  private static final long DEADLINE_SLACK_MILLIS = 500;

  /** Number of runs with no time limit or one that is too long that are tolerated in a run. */
  private static final int MAX_TOLERATED_DEADLINES = 20;

  private LoadRules() {}

  /** Checks rule DRAIN: nodes stop sending to a server whose draining the store acknowledged. */
  static List<RuleBreak> sendsToDrained(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      for (Note.Arrived arrived : request.arrivals()) {
        long drainMillis = history.drainAcknowledgedMillis(arrived.server());
        if (sent != null
            && drainMillis != Long.MAX_VALUE
            && arrived.atMillis() - drainMillis > history.bounds().drainMillis()
            && history.isStable(sent.node(), arrived.atMillis(), arrived.atMillis())
            && history.isStable(History.STORE, drainMillis, arrived.atMillis())) {
          violations.add(
              new RuleBreak(
                  "DRAIN",
                  request.id(),
                  sent.node()
                      + " sent it "
                      + (arrived.atMillis() - drainMillis)
                      + " ms after the store acknowledged that "
                      + arrived.server()
                      + " drains"));
        }
      }
    }
    return violations;
  }

  /**
   * Checks rule BUDGET: repeated sends to a service within a window stay within the retry ratio and
   * slack of the bounds.
   */
  static List<RuleBreak> retryBudget(History history) {
    Map<String, List<Long>> repeats = new HashMap<>();
    Map<String, List<Long>> requests = new HashMap<>();
    for (RequestHistory request : history.requests()) {
      count(history, request, repeats, requests);
    }
    List<RuleBreak> violations = new ArrayList<>();
    repeats.forEach(
        (service, times) ->
            checkWindows(
                history, service, times, requests.getOrDefault(service, List.of()), violations));
    return violations;
  }

  private static void count(
      History history,
      RequestHistory request,
      Map<String, List<Long>> repeats,
      Map<String, List<Long>> requests) {
    if (request.sent() != null) {
      history.configurations().stream()
          .map(configuration -> configuration.route(request.sent().facts().path()))
          .filter(route -> route != null)
          .map(RouteFacts::service)
          .distinct()
          .forEach(service -> timesOf(requests, service).add(request.sent().atMillis()));
    }
    request.arrivals().stream()
        .sorted(Comparator.comparingLong(Note.Arrived::atMillis))
        .skip(1)
        .forEach(arrived -> timesOf(repeats, arrived.service()).add(arrived.atMillis()));
  }

  private static List<Long> timesOf(Map<String, List<Long>> times, String service) {
    return times.computeIfAbsent(service, key -> new ArrayList<>());
  }

  private static void checkWindows(
      History history,
      String service,
      List<Long> repeats,
      List<Long> requests,
      List<RuleBreak> violations) {
    long window = history.bounds().retryWindowMillis();
    for (long end : repeats) {
      long repeated = countWithin(repeats, end - window, end);
      long sent = countWithin(requests, end - window, end);
      sent = Math.max(sent, countWithin(requests, end - 2 * window, end - window));
      sent = Math.max(sent, countWithin(requests, end - window * 3 / 2, end - window / 2));
      double allowed = history.bounds().retryRatio() * sent + history.bounds().retrySlack();
      if (repeated > allowed) {
        violations.add(
            new RuleBreak(
                "BUDGET", service, repeated + " repeated sends for " + sent + " requests"));
        return;
      }
    }
  }

  private static long countWithin(List<Long> times, long after, long until) {
    return times.stream().filter(time -> time > after && time <= until).count();
  }

  /** Checks rule BUDGET: few requests run on more servers at once than their route allows. */
  static List<RuleBreak> concurrentAttempts(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      int limit =
          request.sent() == null
              ? 0
              : history.configurations().stream()
                  .map(configuration -> configuration.route(request.sent().facts().path()))
                  .filter(route -> route != null)
                  .mapToInt(RouteFacts::maxAttempts)
                  .max()
                  .orElse(0);
      if (limit > 0 && maxConcurrentServers(history, request) > limit) {
        violations.add(
            new RuleBreak("BUDGET", request.id(), "more than " + limit + " servers at once"));
      }
    }
    return violations.size() > MAX_TOLERATED ? violations : List.of();
  }

  private static long maxConcurrentServers(History history, RequestHistory request) {
    return request.runs().stream()
        .mapToLong(
            run ->
                request.runs().stream()
                    .filter(other -> other.atMillis() <= run.atMillis())
                    .filter(other -> endOf(history, other) > run.atMillis())
                    .map(Note.Begun::server)
                    .distinct()
                    .count())
        .max()
        .orElse(0);
  }

  /** Returns the recorded end of a run, or the planned one: a killed server records nothing. */
  private static long endOf(History history, Note.Begun run) {
    Note.Ended end = history.end(run.run());
    return end == null ? run.atMillis() + run.plannedMillis() : end.atMillis();
  }

  /** Checks rule BUDGET: servers get a time limit that is not longer than the caller's. */
  static List<RuleBreak> excessiveDeadlines(History history) {
    int all = 0;
    List<RuleBreak> violations = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      for (Note.Begun run : request.runs()) {
        if (sent == null || !history.isStable(sent.node(), sent.atMillis(), run.atMillis())) {
          continue;
        }
        all++;
        long given = run.remainingMillis();
        boolean tooLong = given > sent.deadlineMillis() + DEADLINE_SLACK_MILLIS;
        if (given == 0 || tooLong) {
          violations.add(
              new RuleBreak(
                  "BUDGET",
                  request.id(),
                  "time limit in ms: " + given + ", the caller waits " + sent.deadlineMillis()));
        }
      }
    }
    return violations.size() > MAX_TOLERATED_DEADLINES && violations.size() * 5 > all
        ? violations
        : List.of();
  }

  /** Checks rule GONE: requests are neither forwarded nor run on after their caller has left. */
  static List<RuleBreak> abandonedRequests(History history) {
    List<RuleBreak> late = new ArrayList<>();
    List<RuleBreak> stillRunning = new ArrayList<>();
    int running = 0;
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      Note.Left left = request.left();
      if (sent == null || left == null) {
        continue;
      }
      long end = left.atMillis() + CLOSE_SLACK_MILLIS;
      if (!history.isFullyRecorded(end) || !history.isStable(sent.node(), left.atMillis(), end)) {
        continue;
      }
      if (request.arrivals().stream()
          .anyMatch(arrived -> isSentAfterClose(history, sent.node(), left.atMillis(), arrived))) {
        late.add(new RuleBreak("GONE", request.id(), "forwarded after its caller had left"));
      }
      if (!sent.kind().isIdempotent() && !sent.kind().isStreaming()) {
        continue;
      }
      for (Note.Begun run : request.runs()) {
        if (outlastsClose(history, run, left.atMillis(), end)) {
          running++;
          if (endOf(history, run) > end) {
            stillRunning.add(
                new RuleBreak(
                    "GONE",
                    request.id(),
                    run.server() + " still ran it after its caller had left"));
          }
        }
      }
    }
    boolean tooMany = stillRunning.size() > MAX_TOLERATED && stillRunning.size() * 4 > running;
    return late.size() > MAX_TOLERATED ? late : tooMany ? stillRunning : List.of();
  }

  /**
   * Returns whether a request reached a server too late after its caller had left. Delays in the
   * soak's own proxy or servers are excluded: on a machine with four times as many busy threads as
   * cores, nodes ended requests 1 to 75 ms after their callers had left, but requests that they had
   * sent before reached servers 0.6 to 0.9 s later.
   */
  private static boolean isSentAfterClose(
      History history, String node, long leftMillis, Note.Arrived arrived) {
    return arrived.atMillis() > leftMillis + CLOSE_SLACK_MILLIS
        && history.isForwardedInTime(node, arrived.server(), leftMillis, arrived.atMillis());
  }

  /**
   * Returns whether a run was planned to outlast the close and its server could detect the close.
   */
  private static boolean outlastsClose(History history, Note.Begun run, long leftMillis, long end) {
    return run.atMillis() < end
        && run.atMillis() + run.plannedMillis() > end
        && endOf(history, run) > leftMillis
        && history.isUndisrupted(run.server(), leftMillis, end);
  }
}
