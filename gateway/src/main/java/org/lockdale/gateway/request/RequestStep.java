package org.lockdale.gateway.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import org.lockdale.gateway.placement.PlacementResult;

/**
 * What a request depends on now. A request is in one step at a time; leaving a step ends all that
 * it has started, so that no timer or callback of a former step acts on the request.
 */
sealed interface RequestStep {

  /** Ends what belongs to the step, without a result. Has no effect on what has ended already. */
  void leave();

  /** It is being decided what is next; nothing is under way. */
  record Deciding() implements RequestStep {
    @Override
    public void leave() {}
  }

  /** The request waits until backends accept requests again. */
  record Waiting(Future<?> timer) implements RequestStep {
    @Override
    public void leave() {
      timer.cancel(false);
    }
  }

  /** A backend is being chosen. */
  record Placing(CompletableFuture<PlacementResult> placement) implements RequestStep {
    @Override
    public void leave() {
      placement.cancel(false);
    }
  }

  /** A backend has the request. */
  record Attempting(RunningAttempt attempt, AttemptMonitor monitor) implements RequestStep {
    @Override
    public void leave() {
      monitor.stop();
      attempt.cancel();
    }
  }

  /** Another node has the request. */
  record Forwarding(RequestForwarding forwarding) implements RequestStep {
    @Override
    public void leave() {
      forwarding.cancel();
    }
  }

  /** The request has its final response, or its caller has left. */
  record Ended() implements RequestStep {
    @Override
    public void leave() {}
  }
}
