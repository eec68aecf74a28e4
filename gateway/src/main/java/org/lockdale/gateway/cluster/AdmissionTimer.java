package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Runs the passes over the admission queue: soon after a report has arrived, at least every 10 ms
 * while tickets wait, and a review every 100 ms. Does nothing while none waits. Confined to the
 * event loop.
 */
final class AdmissionTimer {

  private static final long PASS_MILLIS = 10;

  /** Reports within this time cause one pass. */
  private static final long REPORT_BATCH_MILLIS = 2;

  private static final long REVIEW_MILLIS = 100;

  private final EventLoop eventLoop;
  private final AdmissionController controller;
  private final Runnable beforeReview;
  private final Time time;
  private boolean running;
  private boolean passScheduled;
  private long lastReviewMillis;

  /**
   * Creates a timer.
   *
   * @param eventLoop runs the passes
   * @param controller passes over the queue
   * @param beforeReview run before each review
   * @param time clock
   */
  AdmissionTimer(
      EventLoop eventLoop, AdmissionController controller, Runnable beforeReview, Time time) {
    this.eventLoop = eventLoop;
    this.controller = controller;
    this.beforeReview = beforeReview;
    this.time = time;
  }

  /** Starts the passes if tickets wait; to be called when one was submitted. */
  void onSubmitted() {
    if (!running && controller.hasTickets()) {
      running = true;
      lastReviewMillis = time.monotonicMillis();
      eventLoop.schedule(this::tick, PASS_MILLIS, TimeUnit.MILLISECONDS);
    }
    onReport();
  }

  /** Looks at the queue soon, since the load of an engine may have fallen. */
  void onReport() {
    if (!passScheduled && controller.hasTickets()) {
      passScheduled = true;
      eventLoop.schedule(this::passAfterReport, REPORT_BATCH_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void passAfterReport() {
    passScheduled = false;
    controller.admitAll();
  }

  private void tick() {
    try {
      pass();
    } catch (RuntimeException failure) {
      // Without a next pass, all that wait would wait for ever.
      Logger.error(failure, "event=admission-pass-failed");
    }
    if (controller.hasTickets()) {
      eventLoop.schedule(this::tick, PASS_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      running = false;
      // Publishes that the queues are empty.
      controller.review();
    }
  }

  private void pass() {
    controller.admitAll();
    long now = time.monotonicMillis();
    if (now - lastReviewMillis >= REVIEW_MILLIS) {
      lastReviewMillis = now;
      beforeReview.run();
      controller.review();
    }
  }
}
