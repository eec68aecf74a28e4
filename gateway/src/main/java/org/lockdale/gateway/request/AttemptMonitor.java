package org.lockdale.gateway.request;

import java.util.function.BooleanSupplier;

/**
 * Periodically checks whether an attempt can still succeed: whether its connection has gone silent
 * for good, and whether the weights that it waits for have become too old to start on. Must be
 * stopped when the request no longer depends on the attempt. Confined to the event loop of the
 * caller's connection.
 */
final class AttemptMonitor {

  private static final long WEIGHTS_CHECK_INTERVAL_MILLIS = 150;

  /** No connection is considered dead before this: links lose packets, and nodes pause. */
  private static final long MIN_SILENCE_MILLIS = 1_000;

  /**
   * Number of gap objectives of silence after which a started response is considered lost. Callers
   * wait for at least eight gap objectives; the other half leaves time to resume.
   */
  private static final int MAX_SILENT_GAPS = 4;

  private final RequestTimers timers;
  private final RequestState state;
  private final RunningAttempt attempt;
  private boolean stopped;

  /**
   * Creates a monitor.
   *
   * @param timers timers of the request
   * @param state the request
   * @param attempt the attempt to monitor
   */
  AttemptMonitor(RequestTimers timers, RequestState state, RunningAttempt attempt) {
    this.timers = timers;
    this.state = state;
    this.attempt = attempt;
  }

  /** Stops all checks: no action is run from now on. */
  void stop() {
    stopped = true;
  }

  /**
   * Runs an action once the connection has been silent for too long. A dead connection is not
   * always closed or reset, so silence may be the only sign.
   *
   * @param waitMillis longest silence before the response starts, in milliseconds
   * @param onSilent action that may abandon the attempt; if it does not, the attempt goes on
   *     without this check
   */
  void onSilence(long waitMillis, Runnable onSilent) {
    long maxSilenceMillis =
        Math.max(
            MIN_SILENCE_MILLIS,
            attempt.isWaiting()
                ? waitMillis
                : state.route().gapObjective().toMillis() * MAX_SILENT_GAPS);
    after(
        Math.max(1, maxSilenceMillis - attempt.silentMillis()),
        () -> {
          if (attempt.silentMillis() < maxSilenceMillis) {
            onSilence(waitMillis, onSilent);
          } else {
            onSilent.run();
          }
        });
  }

  /**
   * Runs an action once the response has been arriving for a time.
   *
   * @param millis the time, in milliseconds; it doesn't include silence up to the present
   */
  void onArrived(long millis, Runnable action) {
    after(
        millis,
        () -> {
          if (attempt.responseMillis() - attempt.responseSilentMillis() >= millis) {
            action.run();
          } else {
            onArrived(millis, action);
          }
        });
  }

  /**
   * Runs an action when all nodes find the engine silent, and repeatedly while it is.
   *
   * @param onSilent action that may abandon the attempt
   */
  void onEngineSilent(Runnable onSilent) {
    attempt.onEngineSilent(() -> timers.execute(() -> runUnlessStopped(onSilent)));
  }

  /**
   * Abandons the attempt if it still waits at an engine when the engine's weights become too old to
   * start on.
   *
   * @param isOutdated whether the weights are too old by now
   */
  void onOutdatedWeights(BooleanSupplier isOutdated) {
    after(
        WEIGHTS_CHECK_INTERVAL_MILLIS,
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
    timers.schedule(() -> runUnlessStopped(check), millis);
  }

  private void runUnlessStopped(Runnable check) {
    if (!stopped) {
      check.run();
    }
  }
}
