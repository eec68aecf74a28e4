package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

/** Rule on the requests that may reach a server which advertises a rate limit. */
final class RateRules {

  private static final long WINDOW_MILLIS = 4_000;

  /** Time after a response with a rate limit from which on its node must apply the limit. */
  private static final long REACTION_MILLIS = 500;

  private static final double ALLOWED_FACTOR = 1.5;
  private static final double ALLOWED_EXTRA = 5;

  private record Arrival(long atMillis, String node) {}

  private RateRules() {}

  /**
   * Checks rule LIMIT: in no window does a server receive more requests than its advertised rate
   * allows, with a tolerance. Reports the worst window of each server.
   */
  static List<RuleBreak> rateLimit(History history) {
    if (history.rateChanges().isEmpty()) {
      return List.of();
    }
    Map<String, List<Note.RateNamed>> changes = new HashMap<>();
    history
        .rateChanges()
        .forEach(note -> changes.computeIfAbsent(note.server(), id -> new ArrayList<>()).add(note));
    Map<String, List<Arrival>> arrivals = arrivals(history);
    List<RuleBreak> violations = new ArrayList<>();
    changes.forEach(
        (server, rates) -> {
          rates.sort(Comparator.comparingLong(Note.RateNamed::atMillis));
          Map<String, NavigableSet<Long>> announcedAt = announcementTimes(history, server);
          worstWindow(history, server, rates, announcedAt, arrivals.getOrDefault(server, List.of()))
              .ifPresent(violations::add);
        });
    return violations;
  }

  private static Map<String, List<Arrival>> arrivals(History history) {
    Map<String, List<Arrival>> arrivals = new HashMap<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      for (Note.Arrived arrived : request.arrivals()) {
        if (sent != null) {
          arrivals
              .computeIfAbsent(arrived.server(), id -> new ArrayList<>())
              .add(new Arrival(arrived.atMillis(), sent.node()));
        }
      }
    }
    arrivals.values().forEach(list -> list.sort(Comparator.comparingLong(Arrival::atMillis)));
    return arrivals;
  }

  /** Returns when the server sent each node responses with its rate limit. */
  private static Map<String, NavigableSet<Long>> announcementTimes(History history, String server) {
    Map<String, NavigableSet<Long>> announcedAt = new HashMap<>();
    for (Note.RateTold announcement : history.rateAnnouncements()) {
      Note.Sent sent = history.request(announcement.request()).sent();
      if (announcement.server().equals(server) && sent != null) {
        announcedAt
            .computeIfAbsent(sent.node(), node -> new TreeSet<>())
            .add(announcement.atMillis());
      }
    }
    return announcedAt;
  }

  /**
   * Returns since when a server has advertised rates without interruption at a moment, or {@link
   * Long#MAX_VALUE} if it advertises none then.
   */
  private static long advertisedSince(List<Note.RateNamed> rates, long moment) {
    long since = Long.MAX_VALUE;
    boolean advertising = false;
    for (Note.RateNamed rate : rates) {
      if (rate.atMillis() > moment) {
        break;
      }
      since = advertising ? since : rate.atMillis();
      advertising = rate.perSecond() != null;
    }
    return advertising ? since : Long.MAX_VALUE;
  }

  /** Returns the window of a server that exceeds the allowed number of requests the most. */
  private static Optional<RuleBreak> worstWindow(
      History history,
      String server,
      List<Note.RateNamed> rates,
      Map<String, NavigableSet<Long>> announcedAt,
      List<Arrival> arrivals) {
    RuleBreak worst = null;
    double worstExcess = 0;
    long firstChecked = rates.get(0).atMillis() + history.bounds().contactMillis();
    for (int last = 0; last < arrivals.size(); last++) {
      long until = arrivals.get(last).atMillis();
      double rate = maxRate(rates, until - WINDOW_MILLIS, until);
      if (until < firstChecked || Double.isInfinite(rate)) {
        continue;
      }
      int count = 0;
      for (int index = last;
          index >= 0 && arrivals.get(index).atMillis() > until - WINDOW_MILLIS;
          index--) {
        Arrival arrival = arrivals.get(index);
        boolean counts =
            isInformed(arrival, advertisedSince(rates, arrival.atMillis()), announcedAt)
                && isBound(history, arrival, until);
        count += counts ? 1 : 0;
      }
      double allowed = ALLOWED_FACTOR * rate * WINDOW_MILLIS / 1_000 + ALLOWED_EXTRA;
      if (count - allowed > worstExcess) {
        worstExcess = count - allowed;
        worst =
            new RuleBreak("LIMIT", server, count + " requests in 4 s, " + allowed + " are allowed");
      }
    }
    return Optional.ofNullable(worst);
  }

  /**
   * Returns whether a node must know the rate. A rate that it received before the server stopped
   * advertising rates does not apply to a later one.
   */
  private static boolean isInformed(
      Arrival arrival, long advertisedSinceMillis, Map<String, NavigableSet<Long>> announcedAt) {
    Long announced =
        announcedAt.getOrDefault(arrival.node(), new TreeSet<>()).ceiling(advertisedSinceMillis);
    return announced != null && arrival.atMillis() >= announced + REACTION_MILLIS;
  }

  /**
   * Returns whether a node must apply the rate. A disrupted node may not have received it, and the
   * previous build cannot apply it.
   */
  private static boolean isBound(History history, Arrival arrival, long until) {
    return history.isUndisrupted(History.previousBuild(arrival.node()), arrival.atMillis(), until)
        && history.isStable(arrival.node(), arrival.atMillis(), until);
  }

  /**
   * Returns the maximum rate that was advertised in a span, or positive infinity if there is none
   * or if the server advertised none at some moment of the span after its first advertisement.
   */
  private static double maxRate(List<Note.RateNamed> rates, long from, long until) {
    double max = Double.NEGATIVE_INFINITY;
    for (int index = 0; index < rates.size(); index++) {
      Note.RateNamed rate = rates.get(index);
      long end = index + 1 < rates.size() ? rates.get(index + 1).atMillis() : Long.MAX_VALUE;
      if (rate.atMillis() <= until && end > from) {
        Double perSecond = rate.perSecond();
        max = Math.max(max, perSecond == null ? Double.POSITIVE_INFINITY : perSecond);
      }
    }
    return max == Double.NEGATIVE_INFINITY ? Double.POSITIVE_INFINITY : max;
  }
}
