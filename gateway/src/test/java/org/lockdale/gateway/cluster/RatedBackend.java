package org.lockdale.gateway.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.backend.RateStatement;

/** A simulated back end that names rates, and the judge of what it gets. */
final class RatedBackend {

  static final long WINDOW_MILLIS = 4_000;

  /** Nodes that were told keep to a rate from this time on. */
  private static final long OBEY_MILLIS = 500;

  private static final double BORNE_PART = 1.5;
  private static final double BORNE_REQUESTS = 5;

  /** A rate from a time on; positive infinity for none. */
  private record Named(long fromMillis, double perSecond) {}

  private record Arrival(long atMillis, boolean isTold) {}

  private final String server;
  private int life;
  private List<Named> named = new ArrayList<>();
  private List<Arrival> arrivals = new ArrayList<>();
  private Map<String, Long> toldAt = new HashMap<>();
  private double worstExcess = Double.NEGATIVE_INFINITY;
  private double limitedMillis;
  private double allowed;
  private int served;

  RatedBackend(String server) {
    this.server = server;
    startAgain(0);
  }

  /** Begins the next life, in which nothing is named. */
  void startAgain(long now) {
    judge(now);
    life++;
    named = new ArrayList<>(List.of(new Named(now, Double.POSITIVE_INFINITY)));
    arrivals = new ArrayList<>();
    toldAt = new HashMap<>();
  }

  String id() {
    return server + "@" + life;
  }

  void name(double perSecond, long now) {
    named.add(new Named(now, perSecond));
  }

  double rate() {
    return named.get(named.size() - 1).perSecond();
  }

  RateStatement statement() {
    return Double.isInfinite(rate()) ? RateStatement.NONE : new RateStatement.Limited(rate());
  }

  void arrived(String node, long now) {
    Long told = toldAt.get(node);
    arrivals.add(new Arrival(now, told != null && now >= told + OBEY_MILLIS));
  }

  /** Notes that a node passes an answer on. */
  void passedOn(String node, RateStatement statement, long now) {
    if (statement instanceof RateStatement.Limited) {
      toldAt.putIfAbsent(node, now);
    }
  }

  /**
   * Looks at each window in which a rate was named all the time. Where it changed, the greatest one
   * counts, as nobody can know the next one.
   */
  private void judge(long now) {
    for (int last = 0; last < arrivals.size(); last++) {
      long until = arrivals.get(last).atMillis();
      double rate = greatestRate(until - WINDOW_MILLIS, until);
      if (Double.isInfinite(rate)) {
        continue;
      }
      int count = 0;
      for (int index = last; index >= 0; index--) {
        Arrival arrival = arrivals.get(index);
        if (arrival.atMillis() <= until - WINDOW_MILLIS) {
          break;
        }
        count += arrival.isTold() ? 1 : 0;
      }
      double borne = BORNE_PART * rate * WINDOW_MILLIS / 1_000 + BORNE_REQUESTS;
      worstExcess = Math.max(worstExcess, count - borne);
    }
    countAllowed(now);
  }

  /** A window that ends less than its length after the first naming looks back to that. */
  private double greatestRate(long from, long until) {
    double greatest = 0;
    boolean any = false;
    for (int index = 0; index < named.size(); index++) {
      long end = index + 1 < named.size() ? named.get(index + 1).fromMillis() : Long.MAX_VALUE;
      Named rate = named.get(index);
      boolean firstAndNone = index == 0 && Double.isInfinite(rate.perSecond());
      if (rate.fromMillis() <= until && end > from && !firstAndNone) {
        greatest = Math.max(greatest, rate.perSecond());
        any = true;
      }
    }
    return any ? greatest : Double.POSITIVE_INFINITY;
  }

  private void countAllowed(long now) {
    for (int index = 0; index < named.size(); index++) {
      Named rate = named.get(index);
      long end = index + 1 < named.size() ? named.get(index + 1).fromMillis() : now;
      if (!Double.isInfinite(rate.perSecond())) {
        limitedMillis += end - rate.fromMillis();
        allowed += rate.perSecond() * (end - rate.fromMillis()) / 1_000;
        served +=
            (int)
                arrivals.stream()
                    .filter(a -> a.atMillis() >= rate.fromMillis() && a.atMillis() < end)
                    .count();
      }
    }
  }

  void end(long now) {
    judge(now);
  }

  double worstExcess() {
    return worstExcess;
  }

  double allowed() {
    return allowed;
  }

  int served() {
    return served;
  }
}
