package org.lockdale.gateway.rate;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.AdvertisedRate;
import org.tinylog.Logger;

/**
 * The rate limits that backends advertise and the requests that this node may send to them.
 * Thread-safe; takes no lock while no backend advertises a rate.
 */
public final class BackendRates {

  /** Receives the rate limits in the responses to this node, on any thread. */
  @FunctionalInterface
  public interface Listener {

    /**
     * Called when a response advertises a rate, or none although its backend advertised one until
     * recently.
     *
     * @param backend text form of the backend's incarnation
     * @param rate rate limit in the response
     * @param sentAtMillis monotonic time at which the request was sent
     * @param receivedAtMillis monotonic time at which the first part of the response was received
     * @param isNew whether the response changed the rate limit known to this node
     */
    void onAdvertisedRate(
        String backend,
        AdvertisedRate rate,
        long sentAtMillis,
        long receivedAtMillis,
        boolean isNew);
  }

  /**
   * Rate at which the retries of callers are scheduled after a backoff. How much a backend accepts
   * then is unknown; this rate spreads the callers, and delays few of them.
   */
  private static final double RETRIES_AFTER_BACKOFF_PER_SECOND = 50;

  private final Time time;
  private final AdvertisedRates advertised = new AdvertisedRates();
  private final RateAllowances allowances;
  private final PendingArrivals pending = new PendingArrivals();
  private final RetryAfterSchedule retrySchedule = new RetryAfterSchedule();
  private final RateLog log = new RateLog();
  private volatile Listener listener = (backend, rate, sentAt, receivedAt, isNew) -> {};
  private volatile Runnable sendListener = () -> {};
  private long delays;

  /** Whether any backend advertises a rate or did so until recently. */
  private volatile boolean anyKnown;

  /** Creates the rates of a node at which no backend has advertised one yet. */
  public BackendRates(Time time) {
    this.time = time;
    this.allowances = new RateAllowances(time.monotonicMillis());
  }

  /** Sets the listener for responses to this node, in place of any former one. */
  public void setListener(Listener newListener) {
    listener = newListener;
  }

  /** Sets the listener for requests to backends that advertise rates, in place of any former. */
  public void setSendListener(Runnable newListener) {
    sendListener = newListener;
  }

  /**
   * Processes the rate limit of a response to this node.
   *
   * @param backend text form of the backend's incarnation
   * @param rate rate limit in the response
   * @param sentAtMillis monotonic time at which the request was sent
   */
  public void recordResponse(String backend, AdvertisedRate rate, long sentAtMillis) {
    if (!anyKnown && rate instanceof AdvertisedRate.None) {
      return;
    }
    if (rate instanceof AdvertisedRate.Unreadable unreadable) {
      Logger.info("event=rate-unreadable backend={} value=\"{}\"", backend, unreadable.text());
      return;
    }
    long now = time.monotonicMillis();
    // The listener is also notified for some time after a limit ended: a relay that missed the
    // notification of the first response without a rate would otherwise keep the limit.
    boolean notifies = rate instanceof AdvertisedRate.Limited || isKnown(backend);
    boolean isNew = record(backend, rate, sentAtMillis, now, "answer");
    if (notifies) {
      listener.onAdvertisedRate(backend, rate, sentAtMillis, now, isNew);
    }
  }

  /**
   * Processes the rate limit of a response to another node.
   *
   * @param sender id of the node that reported it
   * @param backend text form of the backend's incarnation
   * @param rate rate limit in the response
   * @param sentAtMillis monotonic time before which the request was sent
   * @param receivedAtMillis monotonic time at which the first part of the response was received
   * @return whether the response changed the rate limit known to this node
   */
  public boolean recordReport(
      String sender,
      String backend,
      AdvertisedRate rate,
      long sentAtMillis,
      long receivedAtMillis) {
    return record(backend, rate, sentAtMillis, receivedAtMillis, sender);
  }

  private synchronized boolean record(
      String backend,
      AdvertisedRate rate,
      long sentAtMillis,
      long receivedAtMillis,
      String source) {
    AdvertisedRates.Change change =
        advertised.record(backend, rate, sentAtMillis, receivedAtMillis);
    anyKnown = !advertised.isEmpty();
    switch (change) {
      case LIMITED -> {
        double perSecond = advertised.perSecond(backend).orElseThrow();
        allowances.setRate(backend, perSecond, time.monotonicMillis());
        Logger.info(
            "event=rate-named backend={} per-second={} source={}", backend, perSecond, source);
      }
      case ENDED -> {
        allowances.removeRate(backend);
        Logger.info("event=rate-ended backend={} source={}", backend, source);
      }
      default -> {
        // Most responses repeat the rate of the previous one.
      }
    }
    return change != AdvertisedRates.Change.NONE;
  }

  private synchronized boolean isKnown(String backend) {
    return advertised.isKnown(backend);
  }

  /** Returns whether a backend advertises a rate. */
  public boolean isLimited(String backend) {
    return anyKnown && advertisedRate(backend).isPresent();
  }

  /**
   * Returns the lowest rate among the latest responses of a backend, or empty if it advertises
   * none.
   */
  public synchronized Optional<AdvertisedRates.Observation> advertisedRate(String backend) {
    return advertised.lowest(backend);
  }

  /**
   * Returns the latest response of a backend that advertised a rate until recently and does so no
   * more; empty for any other.
   */
  public synchronized Optional<AdvertisedRates.Observation> endOf(String backend) {
    return advertised.endOf(backend);
  }

  /** Returns whether any backend that is probably still used advertises a rate. */
  public boolean isAnyLimited() {
    return anyKnown && isAnyLimitedLocked();
  }

  private synchronized boolean isAnyLimitedLocked() {
    return advertised.isAnyInUseLimited(time.monotonicMillis());
  }

  /**
   * Returns the lowest rate among the latest responses, by backend, of those that advertise one.
   */
  public synchronized Map<String, AdvertisedRates.Observation> limited() {
    return advertised.limited();
  }

  /** Returns whether this node may send a request to a backend now. */
  public boolean hasRoom(String backend) {
    return !anyKnown || hasRoomLocked(backend);
  }

  private synchronized boolean hasRoomLocked(String backend) {
    long now = time.monotonicMillis();
    return allowances.hasRoom(backend, now)
        && pending.hasRoom(backend, allowances.perWindow(backend, now), now);
  }

  /**
   * Deducts a request to a backend, if this node may send one now.
   *
   * @return whether it may be sent
   */
  public boolean tryTake(String backend) {
    return !anyKnown || tryTakeLocked(backend);
  }

  private synchronized boolean tryTakeLocked(String backend) {
    long now = time.monotonicMillis();
    boolean taken = hasRoomLocked(backend) && allowances.tryTake(backend, now);
    if (taken && advertised.lowest(backend).isPresent()) {
      log.recordGrant(backend);
      pending.recordGrant(backend, now);
    }
    return taken;
  }

  /**
   * Returns the time after which a caller should retry at a pool whose backends accept no more
   * requests now, in milliseconds.
   *
   * @param pool name of the pool
   * @param backends its backends that could serve the caller except for their rates
   * @param backoffMillis time until the first of its other backends ends its backoff, or {@link
   *     Long#MAX_VALUE}
   */
  public synchronized long retryAfterMillis(
      String pool, Collection<String> backends, long backoffMillis) {
    delays++;
    long now = time.monotonicMillis();
    double soonest = Double.POSITIVE_INFINITY;
    double perSecond = 0;
    if (backoffMillis < Long.MAX_VALUE) {
      soonest = backoffMillis;
      perSecond = RETRIES_AFTER_BACKOFF_PER_SECOND;
    }
    for (String backend : backends) {
      double wait =
          Math.max(
              allowances.waitMillis(backend, now),
              pending.waitMillis(backend, allowances.perWindow(backend, now), now));
      if (wait < Double.POSITIVE_INFINITY) {
        soonest = Math.min(soonest, wait);
        perSecond += allowances.perSecond(backend);
      }
    }
    return retrySchedule.next(pool, soonest, perSecond, now);
  }

  /** Records that a node lends its share of all rates until a time. */
  public synchronized void lent(String node, double share, long untilMillis) {
    allowances.lent(node, share, untilMillis, time.monotonicMillis());
  }

  /** Releases the share of a node. A loan that ends no later and arrives after this is ignored. */
  public synchronized void release(String node, long untilMillis) {
    allowances.release(node, untilMillis, time.monotonicMillis());
  }

  /** Returns the sum of the shares that are lent to this node, from 0 to 1. */
  public synchronized double share() {
    return allowances.share(time.monotonicMillis());
  }

  /** Returns whether a node has lent its share to this one. */
  public synchronized boolean isLentBy(String node) {
    return allowances.isLentBy(node, time.monotonicMillis());
  }

  /**
   * Records that this node sends a request to a backend.
   *
   * @param backend text form of the backend's incarnation
   * @param request id of the request
   * @param grantedBy id of the relay that placed the request, or an empty text for this node
   * @return the send, to be passed to {@link #recordEnd}; null if the backend advertises no rate
   */
  public @Nullable RateSend recordSend(String backend, String request, String grantedBy) {
    RateSend send = anyKnown ? recordSendLocked(backend, request, grantedBy) : null;
    if (send != null) {
      sendListener.run();
    }
    return send;
  }

  private synchronized @Nullable RateSend recordSendLocked(
      String backend, String request, String grantedBy) {
    if (advertised.perSecond(backend).isEmpty()) {
      return null;
    }
    log.recordSend(backend);
    RateSend send = new RateSend(backend, request, grantedBy, time.monotonicMillis());
    pending.recordSend(send);
    return send;
  }

  /** Records that the response to a request has begun, or that its attempt ended without one. */
  public synchronized void recordEnd(RateSend send, RateSend.End end) {
    long now = time.monotonicMillis();
    pending.recordEnd(send, end, now);
    log.logEnd(send, end, now);
  }

  /**
   * Returns the number of this node's requests that may arrive now or have arrived recently, by
   * backend, for those that advertise rates.
   */
  public Map<String, Integer> sentCounts() {
    return anyKnown ? sentCountsLocked() : Map.of();
  }

  private synchronized Map<String, Integer> sentCountsLocked() {
    return pending.sentCounts(time.monotonicMillis());
  }

  /**
   * Records the number of another node's requests to a backend, in place of its earlier report.
   * Ignored for a backend that advertises no rate to the knowledge of this node.
   */
  public synchronized void recordSentCount(NodeRun node, String backend, int count) {
    if (advertised.isKnown(backend)) {
      pending.recordReport(node, backend, count, time.monotonicMillis());
    }
  }

  /**
   * Returns the number of requests that this node knows of and that may arrive now or have arrived
   * recently, by backend.
   */
  public synchronized Map<String, Integer> pendingCounts() {
    long now = time.monotonicMillis();
    Map<String, Integer> counts = new TreeMap<>();
    advertised.limited().keySet().forEach(id -> counts.put(id, pending.count(id, now)));
    return counts;
  }

  /**
   * Removes backends that are gone, and periodically logs what was sent to the others.
   *
   * @param backends backends that have a record
   */
  public synchronized void tick(Set<String> backends) {
    if (!anyKnown) {
      return;
    }
    long now = time.monotonicMillis();
    advertised.retain(backends, now).forEach(log::logForgotten);
    allowances.retain(advertised.limited().keySet());
    pending.retain(advertised.known());
    anyKnown = !advertised.isEmpty();
    log.retain(advertised.limited().keySet());
    log.tick(advertised, pending, allowances.share(now), now);
  }

  /**
   * Returns the number of requests that this node has sent to backends while they advertised rates,
   * by backend id.
   */
  public synchronized Map<String, Long> sends() {
    return log.sends();
  }

  /** Returns how many requests were delayed because the backends accepted no more. */
  public synchronized long delays() {
    return delays;
  }
}
