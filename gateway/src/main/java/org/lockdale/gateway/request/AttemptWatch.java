package org.lockdale.gateway.request;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Looks from time to time whether an attempt still has a chance: whether its connection has gone
 * silent for good, and whether the weights it waits for have become too old to begin on. It ceases
 * when the request goes on without the attempt. Lives on the event loop of the caller's connection.
 */
final class AttemptWatch {

  private static final long WEIGHTS_CHECK_MILLIS = 150;

  /** No connection is taken for dead before this: links lose packets, and nodes pause. */
  private static final long LEAST_SILENCE_MILLIS = 1_000;

  /**
   * Callers wait for eight pauses of the objective at least; half of that leaves time to resume.
   */
  private static final int SILENT_GAPS = 4;

  private final RequestState state;
  private final Attempt attempt;
  private final BooleanSupplier isCurrent;

  /**
   * Creates a watch.
   *
   * @param state the request
   * @param attempt what is watched
   * @param isCurrent whether the request still depends on the attempt
   */
  AttemptWatch(RequestState state, Attempt attempt, BooleanSupplier isCurrent) {
    this.state = state;
    this.attempt = attempt;
    this.isCurrent = isCurrent;
  }

  /**
   * Acts once the connection has gone silent for good, which no reset tells.
   *
   * @param waitMillis longest silence before the answer begins
   * @param leave may leave the attempt, which otherwise waits on without this watch
   */
  void onSilence(long waitMillis, Runnable leave) {
    long bound =
        Math.max(
            LEAST_SILENCE_MILLIS,
            attempt.isWaiting()
                ? waitMillis
                : state.route().gapObjective().toMillis() * SILENT_GAPS);
    after(
        Math.max(1, bound - attempt.silentMillis()),
        () -> {
          if (attempt.silentMillis() < bound) {
            onSilence(waitMillis, leave);
          } else {
            leave.run();
          }
        });
  }

  /**
   * Takes a request back that waits at an engine whose weights become too old to begin on.
   *
   * @param isOutdated whether they are by now
   */
  void onOutdatedWeights(BooleanSupplier isOutdated) {
    after(
        WEIGHTS_CHECK_MILLIS,
        () -> {
          if (!attempt.isWaiting()) {
            return;
          }
          if (isOutdated.getAsBoolean()) {
            attempt.abandonWaiting("its weights are out of date");
          } else {
            onOutdatedWeights(isOutdated);
          }
        });
  }

  private void after(long millis, Runnable check) {
    state
        .exchange
        .eventLoop()
        .schedule(
            () -> {
              if (isCurrent.getAsBoolean()) {
                check.run();
              }
            },
            millis,
            TimeUnit.MILLISECONDS);
  }
}
