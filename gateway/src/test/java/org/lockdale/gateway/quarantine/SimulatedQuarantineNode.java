package org.lockdale.gateway.quarantine;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.blackboard.Snapshot;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.life.LivenessEvidence;
import org.lockdale.gateway.quarantine.part.SuspectParts;
import org.lockdale.http.Reachability;

/**
 * A node of a {@link QuarantineSimulation}: the production code of the quarantine, with its copies
 * of the tables and what it knows of servers.
 */
final class SimulatedQuarantineNode extends EmptySuspectTable {
  private final QuarantineSimulation simulation;
  private final int number;
  private VirtualExecutor executor;
  private Section<Suspects> section;
  Quarantine quarantine;
  private BackendTable servers = BackendTable.EMPTY;
  private long readAtMillis;
  final Map<InetSocketAddress, Deque<Long>> idle = new HashMap<>();
  private final Map<InetSocketAddress, Long> avoidedUntil = new HashMap<>();
  private final LivenessEvidence livenessEvidence = new LivenessEvidence(this::servers);
  long disturbedUntilMillis = -QuarantineSimulation.CONVERGENCE_MILLIS;
  boolean isolated;
  boolean down;

  SimulatedQuarantineNode(QuarantineSimulation simulation, int number) {
    this.simulation = simulation;
    this.number = number;
    initialize();
  }

  private void initialize() {
    executor = new VirtualExecutor(simulation.time);
    section = new Section<>(Suspects.NONE);
    QuarantineContext context =
        new QuarantineContext(
            executor,
            this::probe,
            this::servers,
            this,
            "n" + number,
            suspects -> simulation.broadcast(this, suspects),
            parts -> {},
            this::askOwner,
            () -> number == 0,
            simulation.time);
    quarantine =
        new Quarantine(
            context,
            section,
            new Section<>(SuspectParts.NONE),
            new QuarantineTimes(3_600_000, 5_000));
    quarantine.start();
    servers = BackendTable.EMPTY;
    idle.clear();
    avoidedUntil.clear();
    readServers();
    executor.execute(this::readTable);
  }

  void restart() {
    restartAfter(0);
  }

  void restartAfter(int millis) {
    if (down) {
      return;
    }
    executor.shutdown();
    down = true;
    disturbedUntilMillis = simulation.time.monotonicMillis() + millis;
    if (millis == 0) {
      startAgain();
    } else {
      simulation.time.schedule(millis * 1_000L, this::startAgain);
    }
  }

  private void startAgain() {
    down = false;
    initialize();
    catchUp();
  }

  private CompletableFuture<Boolean> askOwner(SuspectAttempt attempt) {
    CompletableFuture<Boolean> reply = new CompletableFuture<>();
    SimulatedQuarantineNode owner =
        simulation.nodes.get(
            Integer.parseInt(AttemptIds.nodeOf(attempt.id()).substring("n".length())));
    simulation.time.schedule(
        QuarantineSimulation.MAX_DELAY_MICROS,
        () ->
            reply.complete(
                !isolated
                    && !owner.isolated
                    && !owner.down
                    && owner.quarantine.isAttemptInProgress(attempt.id())));
    return reply;
  }

  private Snapshot<BackendTable> servers() {
    if (reachesStore()) {
      readAtMillis = simulation.time.monotonicMillis();
    }
    return new Snapshot<>(servers, 0, readAtMillis);
  }

  private boolean reachesStore() {
    return !simulation.storeDown && !isolated;
  }

  /**
   * Uses an idle connection or opens one; returns the monotonic time at which it was established.
   */
  long connect(SimulatedQuarantineServer server) {
    Long connected = idle.getOrDefault(server.address, new ArrayDeque<>()).pollLast();
    return connected == null ? simulation.time.monotonicMillis() : connected;
  }

  void avoid(SimulatedQuarantineServer server) {
    avoidedUntil.put(
        server.address, simulation.time.monotonicMillis() + QuarantineSimulation.AVOID_MILLIS);
  }

  /** Chooses a server among those that this node knows. */
  Optional<Backend> choose() {
    List<Backend> known =
        servers.all().stream()
            .filter(tracked -> !tracked.hasEnded())
            .map(TrackedBackend::backend)
            .toList();
    long now = simulation.time.monotonicMillis();
    List<Backend> available =
        known.stream()
            .filter(backend -> avoidedUntil.getOrDefault(backend.address(), 0L) <= now)
            .toList();
    List<Backend> choice = available.isEmpty() ? known : available;
    return choice.isEmpty()
        ? Optional.empty()
        : Optional.of(choice.get(simulation.random.nextInt(choice.size())));
  }

  /**
   * Receives the suspects of two other simulation.nodes, as a node does over the network when it
   * starts.
   */
  private void catchUp() {
    for (int request = 0; request < 2; request++) {
      SimulatedQuarantineNode other =
          simulation.nodes.get(simulation.random.nextInt(simulation.nodes.size()));
      Quarantine instance = quarantine;
      simulation.time.schedule(
          1_000 + simulation.random.nextInt((int) QuarantineSimulation.MAX_DELAY_MICROS),
          () -> {
            if (other != this
                && quarantine == instance
                && !isolated
                && !other.isolated
                && !other.down) {
              instance.receive(other.quarantine.heaviest(64));
            }
          });
    }
  }

  boolean isUndisturbed(long nowMillis) {
    return nowMillis - Math.max(disturbedUntilMillis, simulation.storeDisturbedUntilMillis)
        > QuarantineSimulation.CONVERGENCE_MILLIS;
  }

  private CompletableFuture<Reachability> probe(InetSocketAddress address) {
    boolean up =
        simulation.all.stream().anyMatch(server -> server.address.equals(address) && server.up);
    boolean taken = up || simulation.plan.evidence().addressesTaken();
    return CompletableFuture.completedFuture(taken ? Reachability.ACCEPTS : Reachability.REFUSES);
  }

  void answered(QuarantineSimulation.Run run) {
    idle.computeIfAbsent(run.server.address, key -> new ArrayDeque<>()).add(run.connectedAtMillis);
    Optional.ofNullable(servers.find(run.assumed))
        .ifPresent(
            tracked ->
                livenessEvidence.recordResponse(
                    tracked, run.connectedAtMillis, run.startedAtMillis));
  }

  void readServers() {
    if (reachesStore()) {
      servers =
          servers.with(
              simulation.all.stream()
                  .filter(server -> server.hasRecord)
                  .map(SimulatedQuarantineServer::record)
                  .toList());
    }
  }

  void readTable() {
    if (reachesStore()) {
      quarantine.updateTrials(List.copyOf(simulation.trialRows.values()));
      quarantine.updateFromTable(
          List.copyOf(simulation.rows.values()), List.copyOf(simulation.attemptRows));
    } else {
      executor.schedule(
          this::readTable,
          QuarantineSimulation.TABLE_MILLIS,
          java.util.concurrent.TimeUnit.MILLISECONDS);
    }
  }

  @Override
  public CompletableFuture<Void> record(Suspect suspect) {
    return write(() -> simulation.rows.put(suspect.fingerprint(), suspect));
  }

  @Override
  public CompletableFuture<Void> remove(RequestFingerprint fingerprint) {
    return write(() -> simulation.rows.remove(fingerprint));
  }

  private CompletableFuture<Void> write(Runnable change) {
    if (!reachesStore()) {
      return CompletableFuture.failedFuture(new IllegalStateException("the store is unreachable"));
    }
    simulation.rowsWritten++;
    change.run();
    for (SimulatedQuarantineNode node : simulation.nodes) {
      simulation.time.schedule(
          simulation.random.nextInt(QuarantineSimulation.TABLE_MILLIS) * 1_000L, node::readTable);
    }
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> claimTrial(TrialClaim claim) {
    String key = keyOf(claim);
    if (reachesStore() && simulation.trialRows.containsKey(key)) {
      return CompletableFuture.failedFuture(
          new TableServiceException(
              TableServiceException.Kind.CONDITION_FAILED, "the trial is claimed"));
    }
    return write(() -> simulation.trialRows.put(key, claim));
  }

  @Override
  public CompletableFuture<Void> removeTrial(TrialClaim claim) {
    return write(() -> simulation.trialRows.remove(keyOf(claim)));
  }

  private static String keyOf(TrialClaim claim) {
    return claim.fingerprint() + "/" + claim.number();
  }

  @Override
  public CompletableFuture<Void> recordAttempt(SuspectAttempt attempt) {
    return write(() -> simulation.attemptRows.add(attempt));
  }

  @Override
  public CompletableFuture<Void> removeAttempt(SuspectAttempt attempt) {
    return write(() -> simulation.attemptRows.remove(attempt));
  }
}
