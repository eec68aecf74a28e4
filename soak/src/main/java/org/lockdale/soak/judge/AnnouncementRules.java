package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Rules on what may reach a server that announces draining or requests backoff in responses. */
final class AnnouncementRules {

  /** Time after a response with a backoff from which on its node must apply it. */
  private static final long REACTION_MILLIS = 500;

  /** Number of requests that a node may still send to a server within a backoff. */
  private static final int MAX_REQUESTS_IN_BACKOFF = 2;

  private record Arrival(long atMillis, long sentAtMillis, String node, String request) {}

  private AnnouncementRules() {}

  /**
   * Checks rule DRAIN: a node that has forwarded a server's announcement to a caller sends the
   * server no requests that callers sent later than {@link Bounds#drainMillis} after that. The
   * previous build is exempt.
   */
  static List<RuleBreak> drainAnnouncements(History history) {
    Map<String, List<Arrival>> arrivals =
        history.drainAnnouncements().isEmpty() ? Map.of() : arrivals(history);
    Map<List<String>, Long> forwardedAt = new HashMap<>();
    for (Note.LeavingTold announcement : history.drainAnnouncements()) {
      RequestHistory request = history.request(announcement.request());
      Note.Sent sent = request.sent();
      Note.Answered response = request.response();
      boolean forwarded =
          response != null
              && response.signature() != null
              && response.signature().startsWith(announcement.server() + "/");
      if (sent != null && forwarded) {
        forwardedAt.merge(
            List.of(announcement.server(), sent.node()), response.atMillis(), Math::min);
      }
    }
    List<RuleBreak> violations = new ArrayList<>();
    forwardedAt.forEach(
        (link, at) -> {
          for (Arrival arrival : arrivals.getOrDefault(link.get(0), List.of())) {
            long after = arrival.sentAtMillis() - at;
            if (arrival.node().equals(link.get(1))
                && after > history.bounds().drainMillis()
                && history.ranThroughout(arrival.node(), at, arrival.atMillis())
                && isCurrentBuild(history, arrival.node(), at, arrival.atMillis())) {
              violations.add(
                  new RuleBreak(
                      "DRAIN",
                      arrival.request(),
                      arrival.node()
                          + " received it "
                          + after
                          + " ms after it had forwarded that "
                          + link.get(0)
                          + " drains"));
            }
          }
        });
    return violations;
  }

  /** Checks rule BUDGET: a node sends few requests to a server within a requested backoff. */
  static List<RuleBreak> backoffRequests(History history) {
    if (history.backoffRequests().isEmpty()) {
      return List.of();
    }
    Map<String, List<Arrival>> arrivals = arrivals(history);
    List<RuleBreak> violations = new ArrayList<>();
    for (Note.RestTold announcement : history.backoffRequests()) {
      Note.Sent sent = history.request(announcement.request()).sent();
      if (sent == null) {
        continue;
      }
      long until = announcement.atMillis() + announcement.restMillis();
      long count =
          arrivals.getOrDefault(announcement.server(), List.of()).stream()
              .filter(arrival -> arrival.node().equals(sent.node()))
              .filter(arrival -> arrival.atMillis() >= announcement.atMillis() + REACTION_MILLIS)
              .filter(arrival -> arrival.atMillis() < until)
              .filter(arrival -> isBoundByBackoff(history, announcement, arrival))
              .count();
      if (count > MAX_REQUESTS_IN_BACKOFF) {
        violations.add(
            new RuleBreak(
                "BUDGET",
                announcement.server(),
                count
                    + " requests of "
                    + sent.node()
                    + " in a backoff of "
                    + announcement.restMillis()
                    + " ms from "
                    + announcement.atMillis()));
      }
    }
    return violations;
  }

  /**
   * Returns whether an arrival counts. A disrupted node may not have received the backoff, the
   * previous build is exempt, and requests that the soak delayed may have been sent before it.
   */
  private static boolean isBoundByBackoff(
      History history, Note.RestTold announcement, Arrival arrival) {
    return history.isUndisrupted(arrival.node(), announcement.atMillis(), arrival.atMillis())
        && isCurrentBuild(history, arrival.node(), announcement.atMillis(), arrival.atMillis())
        && history.isForwardedInTime(
            arrival.node(), announcement.server(), announcement.atMillis(), arrival.atMillis());
  }

  private static boolean isCurrentBuild(History history, String node, long from, long until) {
    return history.isUndisrupted(History.previousBuild(node), from, until);
  }

  private static Map<String, List<Arrival>> arrivals(History history) {
    Map<String, List<Arrival>> arrivals = new HashMap<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      if (sent == null) {
        continue;
      }
      for (Note.Arrived arrived : request.arrivals()) {
        arrivals
            .computeIfAbsent(arrived.server(), id -> new ArrayList<>())
            .add(new Arrival(arrived.atMillis(), sent.atMillis(), sent.node(), request.id()));
      }
    }
    return arrivals;
  }
}
