package org.lockdale.gateway.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.tinylog.Logger;

/**
 * Logs the requests to backends that advertise rates: each send, up to a number of lines, and
 * periodically the sums. Not thread-safe.
 */
final class RateLog {

  /** Interval at which sums are logged, in milliseconds. */
  private static final long INTERVAL_MILLIS = 4_000;

  /** Maximum number of backends whose sums are logged each time. */
  private static final int MAX_BACKENDS = 16;

  /** Maximum number of sends that are logged in an interval. */
  private static final int MAX_SENDS = 64;

  /** Requests to one backend. */
  private static final class Counts {
    long sends;
    long grants;
    long loggedSends;
    long loggedGrants;

    boolean hasChanged() {
      return sends > loggedSends || grants > loggedGrants;
    }
  }

  private final Map<String, Counts> byBackend = new HashMap<>();
  private long loggedAtMillis;
  private int linesLeft = MAX_SENDS;
  private int suppressed;

  /** Records that this node has granted a request, its own or that of another node. */
  void recordGrant(String backend) {
    counts(backend).grants++;
  }

  /** Records that this node sends a request. */
  void recordSend(String backend) {
    counts(backend).sends++;
  }

  private Counts counts(String backend) {
    return byBackend.computeIfAbsent(backend, id -> new Counts());
  }

  /** Logs a send whose response has begun, or that has ended without one. */
  void logEnd(RateSend send, RateSend.End end, long nowMillis) {
    if (linesLeft == 0) {
      suppressed++;
      return;
    }
    linesLeft--;
    Logger.info(
        "event=rate-send backend={} request={} granted-by={} millis={} end={}",
        send.backend(),
        send.request(),
        send.grantedBy().isEmpty() ? "self" : send.grantedBy(),
        nowMillis - send.sentAtMillis(),
        end);
  }

  /** Logs that the rate of a backend is no longer kept, although the backend did not end it. */
  void logForgotten(String backend, double perSecond) {
    Logger.info("event=rate-forgotten backend={} per-second={}", backend, perSecond);
  }

  /** Removes all backends but the given ones. */
  void retain(Set<String> backends) {
    byBackend.keySet().retainAll(backends);
  }

  /** Logs the sums of the backends with new requests, if they are due. */
  void tick(AdvertisedRates rates, PendingArrivals pending, double share, long nowMillis) {
    if (nowMillis - loggedAtMillis < INTERVAL_MILLIS) {
      return;
    }
    loggedAtMillis = nowMillis;
    byBackend.entrySet().stream()
        .filter(entry -> entry.getValue().hasChanged())
        .limit(MAX_BACKENDS)
        .forEach(
            entry ->
                logSums(
                    entry.getKey(),
                    entry.getValue(),
                    rates.perSecond(entry.getKey()).orElse(Double.NaN),
                    pending.count(entry.getKey(), nowMillis),
                    share));
    byBackend.values().forEach(RateLog::startInterval);
    linesLeft = MAX_SENDS;
    suppressed = 0;
  }

  private void logSums(String backend, Counts counts, double perSecond, int pending, double share) {
    Logger.info(
        "event=rate-sends backend={} per-second={} sends={} grants={} pending={} share={} lines-suppressed={}",
        backend,
        perSecond,
        counts.sends - counts.loggedSends,
        counts.grants - counts.loggedGrants,
        pending,
        share,
        suppressed);
  }

  private static void startInterval(Counts counts) {
    counts.loggedSends = counts.sends;
    counts.loggedGrants = counts.grants;
  }

  /** Returns the number of requests that this node has sent, by backend. */
  Map<String, Long> sends() {
    Map<String, Long> sends = new TreeMap<>();
    byBackend.forEach(
        (backend, counts) -> {
          if (counts.sends > 0) {
            sends.put(backend, counts.sends);
          }
        });
    return sends;
  }
}
