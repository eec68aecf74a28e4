package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

/** What may reach a server that names a rate. */
final class RateRules {

  private static final long WINDOW_MILLIS = 4_000;

  /** Nodes that have passed such an answer on keep to the rate from this time on. */
  private static final long OBEY_MILLIS = 500;

  private static final double BORNE_PART = 1.5;
  private static final double BORNE_REQUESTS = 5;

  private record Arrival(long atMillis, String node) {}

  private RateRules() {}

  static List<RuleBreak> limit(History history) {
    if (history.ratesNamed().isEmpty()) {
      return List.of();
    }
    Map<String, List<Note.RateNamed>> named = new HashMap<>();
    history
        .ratesNamed()
        .forEach(note -> named.computeIfAbsent(note.server(), id -> new ArrayList<>()).add(note));
    Map<String, List<Arrival>> arrivals = arrivals(history);
    List<RuleBreak> breaks = new ArrayList<>();
    named.forEach(
        (server, rates) -> {
          rates.sort(Comparator.comparingLong(Note.RateNamed::atMillis));
          Map<String, NavigableSet<Long>> toldAt = toldAt(history, server);
          worst(history, server, rates, toldAt, arrivals.getOrDefault(server, List.of()))
              .ifPresent(breaks::add);
        });
    return breaks;
  }

  private static Map<String, List<Arrival>> arrivals(History history) {
    Map<String, List<Arrival>> arrivals = new HashMap<>();
    for (RequestStory request : history.requests()) {
      Note.Sent sent = request.sent();
      for (Note.Arrived arrived : request.arrivals()) {
        if (sent != null) {
          arrivals
              .computeIfAbsent(arrived.server(), id -> new ArrayList<>())
              .add(new Arrival(arrived.atMillis(), sent.node()));
        }
      }
    }
    arrivals.values().forEach(each -> each.sort(Comparator.comparingLong(Arrival::atMillis)));
    return arrivals;
  }

  /** Returns when each node was given answers that name the rate. */
  private static Map<String, NavigableSet<Long>> toldAt(History history, String server) {
    Map<String, NavigableSet<Long>> toldAt = new HashMap<>();
    for (Note.RateTold told : history.ratesTold()) {
      Note.Sent sent = history.request(told.request()).sent();
      if (told.server().equals(server) && sent != null) {
        toldAt.computeIfAbsent(sent.node(), node -> new TreeSet<>()).add(told.atMillis());
      }
    }
    return toldAt;
  }

  /** Returns since when a server has named rates without a pause at a moment. */
  private static long namedSince(List<Note.RateNamed> rates, long moment) {
    long since = Long.MAX_VALUE;
    boolean names = false;
    for (Note.RateNamed rate : rates) {
      if (rate.atMillis() > moment) {
        break;
      }
      since = names ? since : rate.atMillis();
      names = rate.perSecond() != null;
    }
    return names ? since : Long.MAX_VALUE;
  }

  /** Returns the window of a server that lies furthest over what it bears. */
  private static Optional<RuleBreak> worst(
      History history,
      String server,
      List<Note.RateNamed> rates,
      Map<String, NavigableSet<Long>> toldAt,
      List<Arrival> arrivals) {
    RuleBreak worst = null;
    double worstExcess = 0;
    long bound = rates.get(0).atMillis() + history.bounds().contactMillis();
    for (int last = 0; last < arrivals.size(); last++) {
      long until = arrivals.get(last).atMillis();
      double rate = greatestRate(rates, until - WINDOW_MILLIS, until);
      if (until < bound || Double.isInfinite(rate)) {
        continue;
      }
      int count = 0;
      for (int each = last;
          each >= 0 && arrivals.get(each).atMillis() > until - WINDOW_MILLIS;
          each--) {
        Arrival arrival = arrivals.get(each);
        boolean counts =
            isTold(arrival, namedSince(rates, arrival.atMillis()), toldAt)
                && isBound(history, arrival, until);
        count += counts ? 1 : 0;
      }
      double borne = BORNE_PART * rate * WINDOW_MILLIS / 1_000 + BORNE_REQUESTS;
      if (count - borne > worstExcess) {
        worstExcess = count - borne;
        worst = new RuleBreak("LIMIT", server, count + " in 4 s, " + borne + " are borne");
      }
    }
    return Optional.ofNullable(worst);
  }

  /** What a node was told before a server ceased to name rates says nothing of the next one. */
  private static boolean isTold(
      Arrival arrival, long namedSinceMillis, Map<String, NavigableSet<Long>> toldAt) {
    Long told = toldAt.getOrDefault(arrival.node(), new TreeSet<>()).ceiling(namedSinceMillis);
    return told != null && arrival.atMillis() >= told + OBEY_MILLIS;
  }

  /** A node that was disrupted may not know what it was told; a former build can't keep to it. */
  private static boolean isBound(History history, Arrival arrival, long until) {
    return history.undisrupted(History.former(arrival.node()), arrival.atMillis(), until)
        && history.inTouch(arrival.node(), arrival.atMillis(), until);
  }

  /**
   * Returns the greatest rate that was named in a span, or positive infinity where none was named
   * at some moment after the first one.
   */
  private static double greatestRate(List<Note.RateNamed> rates, long from, long until) {
    double greatest = Double.NEGATIVE_INFINITY;
    for (int index = 0; index < rates.size(); index++) {
      Note.RateNamed rate = rates.get(index);
      long end = index + 1 < rates.size() ? rates.get(index + 1).atMillis() : Long.MAX_VALUE;
      if (rate.atMillis() <= until && end > from) {
        Double perSecond = rate.perSecond();
        greatest = Math.max(greatest, perSecond == null ? Double.POSITIVE_INFINITY : perSecond);
      }
    }
    return greatest == Double.NEGATIVE_INFINITY ? Double.POSITIVE_INFINITY : greatest;
  }
}
