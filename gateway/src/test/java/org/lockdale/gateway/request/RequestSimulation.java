package org.lockdale.gateway.request;

import java.util.ArrayList;
import java.util.List;

/**
 * Runs one request on a simulated node. Its timers, backends, peers and caller act in the order
 * that is chosen, one at a time; what has ended may still act late.
 */
final class RequestSimulation {

  private static final int MAX_MOVES = 400;

  /** Events of one stream at most, so that streams end before the deadline too. */
  private static final int MAX_EVENTS = 20;

  private final SimulatedNode node;
  private final Choices choices;
  private final List<Runnable> usual = new ArrayList<>();
  private final List<Runnable> rare = new ArrayList<>();
  private boolean weightsOutdated;

  private RequestSimulation(SimulationScenario scenario, Choices choices) {
    this.node = new SimulatedNode(scenario, choices);
    this.choices = choices;
  }

  /** Runs a request until nothing can happen any more, and checks it at each step. */
  static void run(SimulationScenario scenario, Choices choices) {
    new RequestSimulation(scenario, choices).run();
  }

  private void run() {
    new RequestExecution(node.ports(), node.state).start();
    boolean timeMayPass = true;
    for (int moves = 0; timeMayPass && moves < MAX_MOVES; moves++) {
      findMoves();
      int chosen = choices.next(usual.size() + 1, rare.size());
      if (chosen == 0) {
        timeMayPass = node.timers.runNext();
      } else if (chosen <= usual.size()) {
        usual.get(chosen - 1).run();
      } else {
        rare.get(chosen - usual.size() - 1).run();
      }
    }
    while (node.timers.runNext()) {
      // Runs what was started and is still to come.
    }
    node.invariants.checkEnd();
  }

  private void findMoves() {
    usual.clear();
    rare.clear();
    node.placements.forEach(this::addPlacementMoves);
    node.attempts.forEach(this::addAttemptMoves);
    node.calls.forEach(this::addCallMoves);
    rare.add(() -> node.unreachable = !node.unreachable);
    if (!node.hasCallerLeft() && !node.invariants.hasEnded()) {
      rare.add(node::leaveCaller);
    }
    if (node.scenario.weights() != null && !weightsOutdated) {
      rare.add(
          () -> {
            weightsOutdated = true;
            node.outdateWeights();
          });
    }
  }

  private void addPlacementMoves(SimulatedPlacement placement) {
    if (placement.isDone()) {
      return;
    }
    usual.add(() -> placement.complete(node.placementResult(0)));
    for (int result = 1; result < SimulatedNode.PLACEMENT_RESULTS; result++) {
      int chosen = result;
      rare.add(() -> placement.complete(node.placementResult(chosen)));
    }
  }

  private void addAttemptMoves(SimulatedAttempt attempt) {
    rare.add(attempt::findEngineSilent);
    if (!attempt.isLive()) {
      rare.add(() -> attempt.conclude(AttemptResult.FAILED));
      return;
    }
    if (!attempt.isSent()) {
      usual.add(attempt::send);
      usual.add(() -> attempt.conclude(AttemptResult.NOT_SENT));
      rare.add(() -> attempt.conclude(AttemptResult.WITHDRAWN));
      return;
    }
    boolean streams = node.scenario.isStream();
    if (streams && node.state.response.events() < MAX_EVENTS) {
      usual.add(attempt::receiveEvent);
    }
    if (attempt.isWaiting()) {
      usual.add(() -> attempt.conclude(AttemptResult.NOT_RUN));
      rare.add(() -> attempt.conclude(AttemptResult.MISDIRECTED));
    }
    boolean brokenOff = streams && node.state.response.hasStarted();
    usual.add(() -> attempt.conclude(brokenOff ? AttemptResult.BROKEN_OFF : AttemptResult.FAILED));
    rare.add(() -> attempt.conclude(AttemptResult.COMPLETE));
  }

  private void addCallMoves(SimulatedCall call) {
    if (!call.isLive()) {
      rare.add(() -> call.end(new ForwardedCall.Result.NotServed("late")));
      return;
    }
    if (!call.hasWritten()) {
      usual.add(() -> call.end(new ForwardedCall.Result.NotServed("not connected")));
    }
    if (!call.isSent()) {
      usual.add(call::send);
      return;
    }
    if (node.scenario.isStream()) {
      usual.add(call::receiveEvent);
    }
    if (!call.hasWritten()) {
      rare.add(() -> call.end(new ForwardedCall.Result.Refused(RefusalKind.UNAVAILABLE)));
    }
    usual.add(() -> call.end(new ForwardedCall.Result.Lost("reset")));
    rare.add(() -> call.end(new ForwardedCall.Result.Abandoned("too large")));
    rare.add(() -> call.end(new ForwardedCall.Result.Served()));
  }
}
