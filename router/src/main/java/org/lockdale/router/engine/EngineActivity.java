package org.lockdale.router.engine;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What this node itself does with one engine, counted at once while reports lag. Safe for use by
 * several threads; lives as long as the engine is known.
 */
public final class EngineActivity {

  private static final long FIRST_BACKOFF_MILLIS = 250;
  private static final long MAX_BACKOFF_MILLIS = 5_000;

  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicInteger sentSinceReport = new AtomicInteger();
  private final AtomicLong tokensSinceReport = new AtomicLong();
  private final AtomicInteger failuresInRow = new AtomicInteger();
  private final AtomicLong avoidUntilMillis = new AtomicLong(Long.MIN_VALUE);

  /** Counts a request that is about to be sent. */
  public void sent(long uncachedPromptTokens) {
    inFlight.incrementAndGet();
    sentSinceReport.incrementAndGet();
    tokensSinceReport.addAndGet(uncachedPromptTokens);
  }

  /** Counts the end of a request. */
  public void ended() {
    inFlight.decrementAndGet();
  }

  /** Forgets what a new report already contains. */
  public void reported() {
    sentSinceReport.set(0);
    tokensSinceReport.set(0);
  }

  /** Notes a failure to reach the engine, which is then avoided for a while. */
  public void failed(long nowMillis) {
    int failures = failuresInRow.incrementAndGet();
    long backoff = FIRST_BACKOFF_MILLIS << Math.min(failures - 1, 10);
    avoidUntilMillis.set(nowMillis + Math.min(backoff, MAX_BACKOFF_MILLIS));
  }

  /** Notes a sign of life. */
  public void succeeded() {
    if (failuresInRow.get() != 0) {
      failuresInRow.set(0);
      avoidUntilMillis.set(Long.MIN_VALUE);
    }
  }

  /** Returns whether the engine is to be avoided for its failures. */
  public boolean isAvoided(long nowMillis) {
    return nowMillis < avoidUntilMillis.get();
  }

  /** Returns requests of this node that the engine has not finished. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns requests sent since the last report. */
  public int sentSinceReport() {
    return sentSinceReport.get();
  }

  /** Returns prompt tokens sent since the last report that the engine must compute. */
  public long tokensSinceReport() {
    return tokensSinceReport.get();
  }
}
