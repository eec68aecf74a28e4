package org.lockdale.gateway.cluster;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.weights.EngineMove;
import org.lockdale.protocol.generated.AttemptOutcome;
import org.lockdale.protocol.generated.EngineLoad;
import org.lockdale.protocol.generated.EngineMoveRecord;
import org.lockdale.protocol.generated.ExpectedParts;
import org.lockdale.protocol.generated.NodeReport;

/** Processes the load reports of other nodes. Runs on one event loop. */
public final class ReportReceiver {

  private final Supplier<BackendTable> backends;
  private final PeerLoads loads;
  private final Time time;
  private final Consumer<EngineMove> onMove;
  private final BiConsumer<String, List<Long>> onExpected;

  /**
   * Creates a receiver.
   *
   * @param backends supplies the backends that are in the shared store
   * @param loads records the load of other nodes
   * @param time clock
   * @param onMove receives the states of engines in a rollout
   * @param onExpected receives the parts of prompts that an engine will soon hold
   */
  public ReportReceiver(
      Supplier<BackendTable> backends,
      PeerLoads loads,
      Time time,
      Consumer<EngineMove> onMove,
      BiConsumer<String, List<Long>> onExpected) {
    this.backends = backends;
    this.loads = loads;
    this.time = time;
    this.onMove = onMove;
    this.onExpected = onExpected;
  }

  /** Processes a report. */
  public void accept(String sender, NodeReport report) {
    for (EngineLoad load : report.getLoads()) {
      BackendWork work =
          new BackendWork(load.getWaitingTokens(), load.getRunningTokens(), load.getOpenRequests());
      loads.recordReport(sender, incarnationOf(load.getEngine()), work);
    }
    if (!report.getLoads().isEmpty()) {
      loads.dropPlacementsUpTo(sender, report.getLatestPlacement());
    }
    for (ExpectedParts expected : report.getExpectations()) {
      onExpected.accept(incarnationOf(expected.getEngine()), expected.getParts());
    }
    for (EngineMoveRecord move : report.getMoves()) {
      onMove.accept(
          new EngineMove(
              incarnationOf(move.getEngine()),
              move.getModel(),
              move.getVersion(),
              move.getMoving()));
    }
    report.getOutcomes().forEach(this::accept);
  }

  /**
   * Returns the id of the incarnation that another node reports by a name, or the name if the
   * backend is unknown here.
   */
  private String incarnationOf(String name) {
    TrackedBackend tracked = backends.get().resolve(name);
    return tracked == null ? name : tracked.backend().id();
  }

  /**
   * Records the outcome of an attempt. A failure seen by another node may be due to the links of
   * that node, so it counts no more than one seen here.
   */
  private void accept(AttemptOutcome outcome) {
    TrackedBackend tracked = backends.get().resolve(outcome.getEngine());
    if (tracked == null) {
      return;
    }
    switch (outcome.getVerdict()) {
      case SUCCEEDED -> tracked.health().recordSuccess();
      case REJECTED -> tracked.health().recordRejection(time.monotonicMillis());
      default -> tracked.health().recordFailure(time.monotonicMillis());
    }
  }
}
