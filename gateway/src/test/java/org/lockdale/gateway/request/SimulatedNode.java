package org.lockdale.gateway.request;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.lockdale.gateway.backend.AttemptPlan;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.cache.CacheTransfer;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementResult;

/** A node around one request, whose backends and peers do what the simulation chooses. */
final class SimulatedNode implements RequestEnvironment, AttemptPlacing, QueuePlace, PeerCalls {

  private static final InetSocketAddress ADDRESS =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

  private static final int PEERS = 3;

  /** The results that a placement may have, by {@link #placementResult}. */
  static final int PLACEMENT_RESULTS = 5;

  private static final long RETRY_LATER_MILLIS = 300;

  final SimulationScenario scenario;
  final Choices choices;
  final RequestState state;
  final RequestInvariants invariants;
  final SimulatedTimers timers;
  final List<SimulatedAttempt> attempts = new ArrayList<>();
  final List<SimulatedCall> calls = new ArrayList<>();
  final List<SimulatedPlacement> placements = new ArrayList<>();
  boolean unreachable;
  private boolean callerLeft;
  private boolean outdated;
  private Runnable onCallerDisconnected = () -> {};

  SimulatedNode(SimulationScenario scenario, Choices choices) {
    this.scenario = scenario;
    this.choices = choices;
    this.state = scenario.newState();
    this.invariants = new RequestInvariants(scenario, state);
    this.timers = new SimulatedTimers(invariants);
    this.unreachable = scenario.unreachable();
  }

  /** Returns the ports of the request. */
  ExecutionPorts ports() {
    return new ExecutionPorts(
        timers,
        this,
        this,
        new SimulatedReports(invariants),
        this,
        this,
        new SimulatedEnding(invariants, state));
  }

  boolean hasCallerLeft() {
    return callerLeft;
  }

  void leaveCaller() {
    callerLeft = true;
    invariants.callerLeft();
    timers.execute(onCallerDisconnected);
  }

  /** Makes the weights too old for requests to start on. */
  void outdateWeights() {
    invariants.trace("weights outdated");
    outdated = true;
  }

  PlacementResult placementResult(int number) {
    return switch (number) {
      case 0 -> new PlacementResult.Placed(newPlacement());
      case 1 -> new PlacementResult.RetryLater(RETRY_LATER_MILLIS);
      case 2 -> PlacementResult.NO_ROOM;
      case 3 -> PlacementResult.NO_CANDIDATE;
      default -> new PlacementResult.Refused(RETRY_LATER_MILLIS, RETRY_LATER_MILLIS);
    };
  }

  private Placement newPlacement() {
    Backend backend =
        new Backend("i-" + attempts.size() + "@1", "pool", ADDRESS, "zone", 1, false, Map.of());
    return new Placement(
        TrackedBackend.of(backend), scenario.weights(), CacheTransfer.NONE, 0, 0, null);
  }

  @Override
  public CompletableFuture<PlacementResult> place() {
    invariants.placementStarted();
    // Later, now as placed, now with another result, or later and perhaps after its cancel.
    int chosen = choices.next(2, PLACEMENT_RESULTS);
    SimulatedPlacement placement =
        new SimulatedPlacement(invariants, chosen == PLACEMENT_RESULTS + 1);
    placements.add(placement);
    if (chosen > 0 && chosen <= PLACEMENT_RESULTS) {
      placement.complete(placementResult(chosen - 1));
    }
    return placement;
  }

  @Override
  public RunningAttempt createAttempt(
      Placement placement,
      Runnable onFirstEvent,
      BiConsumer<RunningAttempt, AttemptResult> onConcluded) {
    AttemptPlan plan =
        new AttemptPlan(
            placement.target().backend(),
            null,
            state.deadlineAtMillis() - timers.nowMillis(),
            state.priority(),
            "",
            placement.weights(),
            placement.transfer(),
            state.response.lastEventId());
    SimulatedAttempt attempt =
        new SimulatedAttempt(
            "attempt-" + attempts.size(),
            this,
            placement.target(),
            plan,
            onFirstEvent,
            onConcluded);
    attempts.add(attempt);
    return attempt;
  }

  @Override
  public void recordOpened(Placement placement) {}

  @Override
  public void onCallerDisconnected(Runnable action) {
    onCallerDisconnected = action;
  }

  @Override
  public boolean isCallerCutOff() {
    return false;
  }

  @Override
  public boolean isPoolUnreachable() {
    return unreachable;
  }

  @Override
  public boolean hasUntriedBackend() {
    return true;
  }

  @Override
  public boolean tryRetry() {
    if (choices.next(2) == 1) {
      return false;
    }
    invariants.retryGranted();
    return true;
  }

  @Override
  public void recordRetrySent() {
    invariants.retryRecordedAsSent();
  }

  @Override
  public boolean sendsUnrepeatable() {
    return true;
  }

  @Override
  public boolean isOutdated(long weights) {
    return outdated;
  }

  @Override
  public void ended(String outcome) {
    invariants.ended(outcome, timers.nowMillis());
  }

  @Override
  public boolean cannotMeetDeadline() {
    return false;
  }

  @Override
  public Runnable join() {
    invariants.queueJoined("place of attempt-" + attempts.size());
    return () -> {};
  }

  @Override
  public void leave(boolean served) {
    invariants.queueLeft();
  }

  @Override
  public Optional<PeerNode> select(Set<String> tried) {
    return tried.size() < PEERS
        ? Optional.of(new PeerNode("node-" + tried.size(), ADDRESS, 1))
        : Optional.empty();
  }

  @Override
  public void include(PeerNode peer) {}

  @Override
  public void exclude(PeerNode peer) {}

  @Override
  public Call create(PeerNode peer, Consumer<ForwardedCall.Result> onResult) {
    SimulatedCall call = new SimulatedCall("call-" + calls.size(), this, onResult);
    calls.add(call);
    return call;
  }

  @Override
  public CompletableFuture<Boolean> isResponsive(PeerNode peer) {
    boolean responsive = choices.next(2) == 0;
    invariants.trace(peer.id() + (responsive ? " responds" : " is silent"));
    return CompletableFuture.completedFuture(responsive);
  }

  @Override
  public void onNotRun() {
    invariants.requireOpen("the tenant gets a refund");
  }
}
