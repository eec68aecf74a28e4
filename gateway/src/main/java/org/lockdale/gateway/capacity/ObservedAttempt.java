package org.lockdale.gateway.capacity;

import java.util.Arrays;

/**
 * Observes one attempt while it is open. Written on the event loop of the caller's connection and
 * read on that of the reports.
 */
public final class ObservedAttempt {

  private static final Runnable NOTHING = () -> {};

  /**
   * Number of gaps that are kept of a stream. The median of so many is close to that of the whole
   * stream, and longer streams take no more memory.
   */
  private static final int MAX_GAPS = 64;

  private final EngineObservations observations;
  private final EngineObservations.Engine engine;
  private final AttemptLoad load;
  private final long sentAtMillis;
  private volatile boolean responded;
  private volatile boolean paused;
  private volatile Runnable onSilent = NOTHING;
  private boolean wasPaused;
  private long firstEventAtMillis = EngineObservations.NEVER;
  private long latestEventAtMillis;
  private long longestGapMillis = EngineUse.UNKNOWN;
  private int gapCount;
  private long[] gaps = new long[0];
  private boolean ended;

  ObservedAttempt(
      EngineObservations observations,
      EngineObservations.Engine engine,
      AttemptLoad load,
      long sentAtMillis) {
    this.observations = observations;
    this.engine = engine;
    this.load = load;
    this.sentAtMillis = sentAtMillis;
  }

  /** Sets an action that runs on the event loop of the reports while the engine is silent. */
  public void onSilent(Runnable action) {
    onSilent = action;
  }

  /** Records that bytes were received from the engine. */
  public void recordReceived() {
    responded = true;
    observations.recordHeard(engine);
  }

  /**
   * Records that events of a stream were received.
   *
   * @param count number of events that were received together; a slow node reads several at once
   */
  public void recordEvents(int count) {
    if (count <= 0) {
      return;
    }
    long now = observations.nowMillis();
    if (firstEventAtMillis == EngineObservations.NEVER) {
      firstEventAtMillis = now;
    } else {
      long elapsed = now - latestEventAtMillis;
      longestGapMillis = Math.max(longestGapMillis, elapsed);
      keepGap(elapsed / count);
    }
    latestEventAtMillis = now;
  }

  private void keepGap(long gapMillis) {
    if (gapCount == gaps.length && gapCount < MAX_GAPS) {
      gaps = Arrays.copyOf(gaps, Math.max(8, gapCount * 2));
    }
    gaps[gapCount % gaps.length] = gapMillis;
    gapCount++;
  }

  /**
   * Records that reading is paused, or resumed, because the caller does not read. The times of a
   * paused attempt tell nothing about the engine.
   */
  public void setPaused(boolean paused) {
    this.paused = paused;
    wasPaused |= paused;
  }

  /** Records that the response is complete; must be called before {@link #end}. */
  public void complete() {
    if (ended || wasPaused) {
      return;
    }
    long firstAt =
        firstEventAtMillis == EngineObservations.NEVER
            ? observations.nowMillis()
            : firstEventAtMillis;
    observations.addTiming(
        new AttemptTiming(
            engine.id(),
            load.computedTokens(),
            load.waitingTokens(),
            load.openRequests(),
            Math.max(0, firstAt - sentAtMillis),
            typicalGapMillis(),
            longestGapMillis));
  }

  private long typicalGapMillis() {
    int kept = Math.min(gapCount, gaps.length);
    if (kept == 0) {
      return EngineUse.UNKNOWN;
    }
    long[] sorted = Arrays.copyOf(gaps, kept);
    Arrays.sort(sorted);
    return sorted[kept / 2];
  }

  /** Records that the attempt has ended, whatever its result. */
  public void end() {
    ended = true;
    engine.remove(this);
  }

  AttemptLoad load() {
    return load;
  }

  long sentAtMillis() {
    return sentAtMillis;
  }

  /** Returns whether bytes were received from the engine. */
  boolean hasResponded() {
    return responded;
  }

  boolean isPaused() {
    return paused;
  }

  void runOnSilent() {
    onSilent.run();
  }
}
