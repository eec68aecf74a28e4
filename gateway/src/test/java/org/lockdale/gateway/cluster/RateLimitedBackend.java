package org.lockdale.gateway.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.backend.AdvertisedRate;

/**
 * A simulated backend that advertises rates and checks whether the requests that it receives exceed
 * them.
 */
final class RateLimitedBackend {

  static final long WINDOW_MILLIS = 4_000;

  /** Time after which a node that received a rate must keep to it. */
  private static final long COMPLIANCE_MILLIS = 500;

  private static final double TOLERATED_FACTOR = 1.5;
  private static final double TOLERATED_REQUESTS = 5;

  /** A rate from a time on; positive infinity for no limit. */
  private record RatePeriod(long fromMillis, double perSecond) {}

  private record Arrival(long atMillis, boolean mustComply) {}

  private final String server;
  private int incarnation;
  private List<RatePeriod> periods = new ArrayList<>();
  private List<Arrival> arrivals = new ArrayList<>();
  private Map<String, Long> rateReceivedAt = new HashMap<>();
  private double worstExcess = Double.NEGATIVE_INFINITY;
  private double limitedMillis;
  private double allowed;
  private int served;

  /** Until when it reads no requests, nor answers any; those that wait arrive then. */
  long stalledUntilMillis;

  /** Minimum time to answer a request. */
  long serviceMillis;

  /** Whether it has a record, without which nodes do not choose it. */
  boolean recorded = true;

  RateLimitedBackend(String server) {
    this.server = server;
    restart(0);
  }

  /** Starts the next incarnation, which advertises no rate. */
  void restart(long now) {
    checkWindows(now);
    incarnation++;
    periods = new ArrayList<>(List.of(new RatePeriod(now, Double.POSITIVE_INFINITY)));
    arrivals = new ArrayList<>();
    rateReceivedAt = new HashMap<>();
  }

  String id() {
    return server + "@" + incarnation;
  }

  void advertise(double perSecond, long now) {
    periods.add(new RatePeriod(now, perSecond));
  }

  double rate() {
    return periods.get(periods.size() - 1).perSecond();
  }

  AdvertisedRate advertisedRate() {
    return Double.isInfinite(rate()) ? AdvertisedRate.NONE : new AdvertisedRate.Limited(rate());
  }

  void onRequest(String node, long now) {
    Long receivedAt = rateReceivedAt.get(node);
    arrivals.add(new Arrival(now, receivedAt != null && now >= receivedAt + COMPLIANCE_MILLIS));
  }

  /** Records that a node has received a response. */
  void onResponseReceived(String node, AdvertisedRate received, long now) {
    if (received instanceof AdvertisedRate.Limited) {
      rateReceivedAt.putIfAbsent(node, now);
    }
  }

  /**
   * Checks each window during all of which a rate was advertised. If the rate changed within the
   * window the greatest one counts, since nobody can know the next one.
   */
  private void checkWindows(long now) {
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
        count += arrival.mustComply() ? 1 : 0;
      }
      double tolerated = TOLERATED_FACTOR * rate * WINDOW_MILLIS / 1_000 + TOLERATED_REQUESTS;
      worstExcess = Math.max(worstExcess, count - tolerated);
    }
    countAllowed(now);
  }

  /**
   * Returns the greatest rate of a window, or positive infinity if the backend had no limit for a
   * part of it. The time before the first advertised rate is left out, so that a window that
   * reaches back beyond it is checked too.
   */
  private double greatestRate(long from, long until) {
    double greatest = 0;
    boolean hasLimit = false;
    for (int index = 0; index < periods.size(); index++) {
      long end = index + 1 < periods.size() ? periods.get(index + 1).fromMillis() : Long.MAX_VALUE;
      RatePeriod rate = periods.get(index);
      boolean isBeforeFirstRate = index == 0 && Double.isInfinite(rate.perSecond());
      if (rate.fromMillis() <= until && end > from && !isBeforeFirstRate) {
        greatest = Math.max(greatest, rate.perSecond());
        hasLimit = true;
      }
    }
    return hasLimit ? greatest : Double.POSITIVE_INFINITY;
  }

  private void countAllowed(long now) {
    for (int index = 0; index < periods.size(); index++) {
      RatePeriod rate = periods.get(index);
      long end = index + 1 < periods.size() ? periods.get(index + 1).fromMillis() : now;
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

  void finish(long now) {
    checkWindows(now);
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
