package org.lockdale.gateway.drain;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.RequestedBackoff;
import org.lockdale.gateway.backend.ResponseHead;
import org.lockdale.gateway.backend.TrackedBackend;
import org.tinylog.Logger;

/**
 * Processes what backends announce in their responses: that they are draining, and backoffs that
 * they request. Safe for use by several threads.
 */
public final class BackendAnnouncements {

  /**
   * Least time between two log lines about unreadable values, in milliseconds, since every response
   * may contain one.
   */
  private static final long UNREADABLE_LOG_MILLIS = 1_000;

  /**
   * The random extension of a backoff is at most its length divided by this, and at most {@link
   * #MAX_SPREAD_MILLIS}.
   */
  private static final long SPREAD_DIVISOR = 10;

  /** Upper bound of the random extension of a backoff, in milliseconds. */
  private static final long MAX_SPREAD_MILLIS = 300;

  private final DrainingBackends drainingBackends;
  private final Time time;
  private final AtomicLong drainAnnouncementCount = new AtomicLong();
  private final AtomicLong withdrawalCount = new AtomicLong();
  private final AtomicLong backoffCount = new AtomicLong();
  private final AtomicLong nextUnreadableLogMillis = new AtomicLong(Long.MIN_VALUE);

  /**
   * Creates a processor of responses.
   *
   * @param drainingBackends the incarnations known to be draining
   * @param time clock
   */
  public BackendAnnouncements(DrainingBackends drainingBackends, Time time) {
    this.drainingBackends = drainingBackends;
    this.time = time;
  }

  /** Processes a response of a backend to this node. May be called on any thread. */
  public void process(TrackedBackend backend, ResponseHead response) {
    if (response.draining() && drainingBackends.recordAnnouncement(backend)) {
      drainAnnouncementCount.incrementAndGet();
    }
    if (response.requestedBackoff() instanceof RequestedBackoff.Requested requested) {
      backOff(backend, requested.millis());
    } else if (response.requestedBackoff() instanceof RequestedBackoff.Unreadable unreadable) {
      logUnreadable(backend, unreadable.text());
    }
  }

  /**
   * Processes a notification from another node of backends that announced to it that they are
   * draining.
   *
   * @param sender id of the other node
   * @param incarnations the incarnations, by their text forms
   */
  public void processBroadcast(String sender, List<String> incarnations) {
    drainingBackends.recordNotification(sender, incarnations);
  }

  /**
   * Counts a request that was not sent, since its backend had announced draining, requested a
   * backoff or was found to have ended after it was chosen.
   */
  public void countWithdrawal() {
    withdrawalCount.incrementAndGet();
  }

  private void backOff(TrackedBackend backend, long millis) {
    long now = time.monotonicMillis();
    boolean wasBackingOff = backend.backoff().isActive(now);
    // Nodes that received the same backoff at the same moment must not all resume at once.
    long spread = ThreadLocalRandom.current().nextLong(millis / SPREAD_DIVISOR + 1);
    if (backend.backoff().extend(millis + Math.min(spread, MAX_SPREAD_MILLIS), now)) {
      backoffCount.incrementAndGet();
      Logger.info(
          "event=backend-rest backend={} millis={} again={}",
          backend.backend().id(),
          millis,
          wasBackingOff);
    }
  }

  private void logUnreadable(TrackedBackend backend, String text) {
    long now = time.monotonicMillis();
    long next = nextUnreadableLogMillis.get();
    if (now >= next && nextUnreadableLogMillis.compareAndSet(next, now + UNREADABLE_LOG_MILLIS)) {
      Logger.info("event=rest-unreadable backend={} value=\"{}\"", backend.backend().id(), text);
    }
  }

  /**
   * Returns the number of incarnations of backends that announced to this node that they are
   * draining.
   */
  public long drainAnnouncements() {
    return drainAnnouncementCount.get();
  }

  /** Returns the number of requests that were not sent to the backend chosen for them. */
  public long withdrawals() {
    return withdrawalCount.get();
  }

  /**
   * Returns the number of backoffs, and extensions of them, that backends requested from this node.
   */
  public long backoffRequests() {
    return backoffCount.get();
  }
}
