package org.lockdale.router.engine;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts of this node's requests to one engine, which are up to date while load reports lag, and
 * its recent failures. Safe for use by several threads; kept as long as the engine is known.
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
  public void recordSend(long uncachedPromptTokens) {
    inFlight.incrementAndGet();
    sentSinceReport.incrementAndGet();
    tokensSinceReport.addAndGet(uncachedPromptTokens);
  }

  /** Counts a request as ended. */
  public void recordEnd() {
    inFlight.decrementAndGet();
  }

  /** Resets the counts of requests and tokens that a new load report already contains. */
  public void resetSinceReport() {
    sentSinceReport.set(0);
    tokensSinceReport.set(0);
  }

  /** Records a failure of the engine, which is then avoided with exponential backoff. */
  public void recordFailure(long nowMillis) {
    int failures = failuresInRow.incrementAndGet();
    long backoff = FIRST_BACKOFF_MILLIS << Math.min(failures - 1, 10);
    avoidUntilMillis.set(nowMillis + Math.min(backoff, MAX_BACKOFF_MILLIS));
  }

  /** Records a successful exchange, which ends the backoff. */
  public void recordSuccess() {
    if (failuresInRow.get() != 0) {
      failuresInRow.set(0);
      avoidUntilMillis.set(Long.MIN_VALUE);
    }
  }

  /** Returns whether the engine is to be avoided because of recent failures. */
  public boolean isAvoided(long nowMillis) {
    return nowMillis < avoidUntilMillis.get();
  }

  /** Returns the number of this node's requests that the engine has not finished. */
  public int inFlight() {
    return inFlight.get();
  }

  /** Returns the number of requests sent since the last report. */
  public int sentSinceReport() {
    return sentSinceReport.get();
  }

  /** Returns the number of uncached prompt tokens sent since the last report. */
  public long tokensSinceReport() {
    return tokensSinceReport.get();
  }
}
