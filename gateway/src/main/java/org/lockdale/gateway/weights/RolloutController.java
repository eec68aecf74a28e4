package org.lockdale.gateway.weights;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.lease.Lease;
import org.lockdale.coordination.lease.LeaseReading;
import org.lockdale.coordination.lease.LeaseRow;
import org.lockdale.coordination.lease.LeaseStore;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.tinylog.Logger;

/**
 * Moves engines to the newest target version. Every node runs a controller; the one that holds the
 * lease, the rollout coordinator, gives the orders, to a few engines at a time and always straight
 * to the newest version. Runs on one event loop.
 */
public final class RolloutController {

  private static final long TICK_MILLIS = 100;

  /**
   * Interval, in milliseconds, at which a node that must not lead checks whether it may. It is
   * longer than {@link #TICK_MILLIS} so that idle nodes rarely wake up.
   */
  private static final long IDLE_TICK_MILLIS = 500;

  private static final long LEASE_DURATION_MILLIS = 1_500;
  private static final long RENEWAL_MILLIS = 500;
  private static final long CONTENTION_MILLIS = 300;

  /**
   * Time before the first order at which the lease is requested, in milliseconds, so that it is
   * acquired while the versions settle. Requested only when the first order is due, it would delay
   * that order by up to half a second: the stagger of the nodes, a read and a write.
   */
  private static final long LEASE_AHEAD_MILLIS = 500;

  private static final long ENGINE_RETRY_MILLIS = 400;

  /**
   * Number of ticks over which the nodes spread their first attempts, so that they don't all
   * collide.
   */
  private static final int STAGGER_TICKS = 5;

  private final EventLoop eventLoop;
  private final Section<TargetWeights> weights;
  private final Section<BackendTable> backends;
  private final WeightsPolicy policy;
  private final RolloutDependencies dependencies;
  private final LeaseStore store;
  private final Lease lease;
  private final String nodeId;
  private final Time time;
  private final BooleanSupplier mayLead;
  private final Set<String> updatingHealthy = new HashSet<>();
  private final Set<String> updatingSuspected = new HashSet<>();
  private final Map<String, Long> retryAtMillis = new HashMap<>();
  private boolean leaseCallPending;
  private long nextLeaseCallMillis;
  private boolean rolloutDue;
  private volatile boolean closed;

  /**
   * Creates a controller; {@link #start} starts it.
   *
   * @param eventLoop event loop that runs the controller
   * @param weights target versions
   * @param backends the backends with a record in the shared store
   * @param policy decides when engines have to move
   * @param dependencies access to the engines and to the other nodes
   * @param store store of the lease
   * @param nodeId id of this node
   * @param guardMillis least time between the orders of two consecutive holders of the lease, in
   *     milliseconds
   * @param time clock
   * @param mayLead returns whether this node may take the lease at present
   */
  public RolloutController(
      EventLoop eventLoop,
      Section<TargetWeights> weights,
      Section<BackendTable> backends,
      WeightsPolicy policy,
      RolloutDependencies dependencies,
      LeaseStore store,
      String nodeId,
      long guardMillis,
      Time time,
      BooleanSupplier mayLead) {
    this.eventLoop = eventLoop;
    this.weights = weights;
    this.backends = backends;
    this.policy = policy;
    this.dependencies = dependencies;
    this.store = store;
    this.lease = new Lease(nodeId, LEASE_DURATION_MILLIS, guardMillis);
    this.nodeId = nodeId;
    this.time = time;
    this.mayLead = mayLead;
  }

  /** Starts the controller. */
  public void start() {
    eventLoop.execute(this::run);
  }

  /** Stops the controller from giving further orders. */
  public void close() {
    closed = true;
  }

  /** Returns whether this node may take the lease and give orders at present. */
  private boolean isActive() {
    return !closed && mayLead.getAsBoolean();
  }

  private void run() {
    tick();
    long delay = mayLead.getAsBoolean() ? TICK_MILLIS : IDLE_TICK_MILLIS;
    eventLoop.schedule(this::run, delay, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    if (!isActive()) {
      rolloutDue = false;
      return;
    }
    long now = time.monotonicMillis();
    List<WeightsPolicy.Move> moves = WeightsPolicy.moves(weights.value(), backends.value());
    RolloutSlots slots = RolloutSlots.of(backends.value());
    long startAt = moves.isEmpty() ? Long.MAX_VALUE : startAt(moves, slots);
    if (now < startAt - LEASE_AHEAD_MILLIS) {
      rolloutDue = false;
      return;
    }
    if (!rolloutDue) {
      rolloutDue = true;
      nextLeaseCallMillis = now + Math.floorMod(nodeId.hashCode(), STAGGER_TICKS) * TICK_MILLIS;
    }
    keepLease(now);
    if (now >= startAt && lease.mayAct(now)) {
      startUpdates(moves, slots, now);
    }
  }

  /**
   * Returns the time at which the moves start. It depends on the healthy engines alone where there
   * are any; engines that can't be reached are moved once they respond again.
   */
  private long startAt(List<WeightsPolicy.Move> moves, RolloutSlots slots) {
    List<WeightsPolicy.Move> healthy = new ArrayList<>();
    for (WeightsPolicy.Move move : moves) {
      if (!move.engine().health().isSuspected()) {
        healthy.add(move);
      }
    }
    return policy.plannedStart(
        weights.value(), healthy.isEmpty() ? moves : healthy, slots.healthy());
  }

  private void startUpdates(List<WeightsPolicy.Move> moves, RolloutSlots slots, long now) {
    for (WeightsPolicy.Move move : moves) {
      String engine = move.engine().backend().id();
      boolean suspected = move.engine().health().isSuspected();
      Set<String> inProgress = suspected ? updatingSuspected : updatingHealthy;
      boolean due = retryAtMillis.getOrDefault(engine, Long.MIN_VALUE) <= now;
      boolean idle = !updatingHealthy.contains(engine) && !updatingSuspected.contains(engine);
      if (due && idle && inProgress.size() < slots.limit(suspected)) {
        inProgress.add(engine);
        new EngineUpdate(
                eventLoop, dependencies, move, lease, this::isActive, nodeId, time::monotonicMillis)
            .start()
            .whenCompleteAsync((held, unusedFailure) -> updated(engine, held), eventLoop);
      }
    }
  }

  private void updated(String engine, boolean held) {
    updatingHealthy.remove(engine);
    updatingSuspected.remove(engine);
    if (held) {
      retryAtMillis.remove(engine);
    } else {
      retryAtMillis.put(engine, time.monotonicMillis() + ENGINE_RETRY_MILLIS);
    }
  }

  private void keepLease(long now) {
    if (leaseCallPending || now < nextLeaseCallMillis) {
      return;
    }
    leaseCallPending = true;
    store
        .read()
        .thenComposeAsync(
            reading -> {
              lease.recordRead(reading, now);
              return claimAfter(reading);
            },
            eventLoop)
        .whenCompleteAsync((written, failure) -> leaseCallCompleted(failure), eventLoop);
  }

  private CompletableFuture<@Nullable Void> claimAfter(LeaseReading reading) {
    if (!isActive()) {
      return CompletableFuture.completedFuture(null);
    }
    Optional<LeaseRow> claim = lease.claim();
    if (claim.isEmpty()) {
      nextLeaseCallMillis =
          time.monotonicMillis() + Math.max(CONTENTION_MILLIS, lease.millisUntilFree());
      return CompletableFuture.completedFuture(null);
    }
    long requestedAt = time.monotonicMillis();
    return store
        .write(claim.get(), reading.version())
        .thenAcceptAsync(
            written -> {
              boolean held = lease.mayAct(requestedAt);
              lease.recordWrite(written, requestedAt);
              nextLeaseCallMillis = requestedAt + RENEWAL_MILLIS;
              if (!held) {
                Logger.info("event=lease-taken lease=weights fence={}", written.version());
              }
            },
            eventLoop);
  }

  private void leaseCallCompleted(@Nullable Throwable failure) {
    leaseCallPending = false;
    if (failure == null) {
      return;
    }
    Throwable cause = Failures.causeOf(failure);
    boolean contended =
        cause instanceof TableServiceException known
            && known.kind() == TableServiceException.Kind.CONDITION_FAILED;
    if (!contended) {
      Logger.info("event=lease-call-failed lease=weights cause={}", cause.getMessage());
    }
    nextLeaseCallMillis = time.monotonicMillis() + CONTENTION_MILLIS;
  }
}
