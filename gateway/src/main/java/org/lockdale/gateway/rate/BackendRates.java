package org.lockdale.gateway.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.RateStatement;
import org.tinylog.Logger;

/**
 * What this node knows of the rates that back ends name, and how much it sends to those. Safe for
 * use by several threads; costs nothing while no back end names a rate.
 */
public final class BackendRates {

  /** What was sent to limited back ends is logged each such time. */
  private static final long LOG_MILLIS = 4_000;

  /** Back ends of which such a line tells; many may name rates at once. */
  private static final int MAX_LOGGED = 16;

  private final Time time;
  private final StatedRates stated = new StatedRates();
  private final Map<String, Integer> sends = new HashMap<>();
  private long loggedAtMillis;

  /** Whether a back end names a rate or did so a moment ago. */
  private volatile boolean any;

  /** Creates a node's knowledge of no rates. */
  public BackendRates(Time time) {
    this.time = time;
  }

  /**
   * Takes in what an answer to this node says.
   *
   * @param backend text form of the back end's incarnation
   * @param statement what the answer says
   * @param sentAtMillis monotonic time at which the answer's request was sent
   */
  public void stated(String backend, RateStatement statement, long sentAtMillis) {
    if (!any && statement instanceof RateStatement.None) {
      return;
    }
    takeIn(backend, statement, sentAtMillis);
  }

  private synchronized void takeIn(String backend, RateStatement statement, long sentAtMillis) {
    if (statement instanceof RateStatement.Unreadable unreadable) {
      Logger.info("event=rate-unreadable backend={} value=\"{}\"", backend, unreadable.text());
    }
    StatedRates.Change change =
        stated.stated(backend, statement, sentAtMillis, time.monotonicMillis());
    any = !stated.isEmpty();
    switch (change) {
      case LIMITED ->
          Logger.info(
              "event=rate-named backend={} per-second={}",
              backend,
              stated.perSecond(backend).orElseThrow());
      case ENDED -> Logger.info("event=rate-ended backend={}", backend);
      default -> {
        // Most answers of a limited back end say what the one before said.
      }
    }
  }

  /** Notes that this node sends a request to a back end. */
  public void sent(String backend) {
    if (any) {
      count(backend);
    }
  }

  private synchronized void count(String backend) {
    if (stated.perSecond(backend).isPresent()) {
      sends.merge(backend, 1, Integer::sum);
    }
  }

  /** Forgets back ends that are gone, and tells from time to time what was sent to the others. */
  public synchronized void tick(Set<String> backends) {
    if (!any) {
      return;
    }
    long now = time.monotonicMillis();
    stated.retain(backends, now);
    any = !stated.isEmpty();
    if (now - loggedAtMillis >= LOG_MILLIS) {
      loggedAtMillis = now;
      sends.entrySet().stream()
          .limit(MAX_LOGGED)
          .forEach(
              entry ->
                  Logger.info(
                      "event=rate-sends backend={} per-second={} sends={}",
                      entry.getKey(),
                      stated.perSecond(entry.getKey()).orElse(Double.NaN),
                      entry.getValue()));
      sends.clear();
    }
  }
}
