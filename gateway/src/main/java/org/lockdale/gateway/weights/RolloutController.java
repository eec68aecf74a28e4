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
 * Moves engines to the newest weights. Every node runs one; the one that takes the lease gives the
 * orders, a few engines at a time and always straight to the newest version. Runs on one event
 * loop.
 */
public final class RolloutController {

  private static final long TICK_MILLIS = 100;

  /** How often a node that may not lead looks whether it may; idle nodes wake seldom. */
  private static final long IDLE_TICK_MILLIS = 500;

  private static final long LEASE_DURATION_MILLIS = 1_500;
  private static final long RENEWAL_MILLIS = 500;
  private static final long CONTENTION_MILLIS = 300;

  /**
   * The lease is taken while the versions settle. To take it when the first order was due made that
   * up to half a second late: the stagger of the nodes, a reading and a write.
   */
  private static final long LEASE_AHEAD_MILLIS = 500;

  private static final long ENGINE_RETRY_MILLIS = 400;

  /** Nodes spread their first attempts over this many ticks, so that they do not all collide. */
  private static final int STAGGER_TICKS = 5;

  private final EventLoop eventLoop;
  private final Section<NamedWeights> weights;
  private final Section<BackendTable> backends;
  private final WeightsPolicy policy;
  private final RolloutTools tools;
  private final LeaseStore store;
  private final Lease lease;
  private final String nodeId;
  private final Time time;
  private final BooleanSupplier mayLead;
  private final Set<String> updating = new HashSet<>();
  private final Set<String> updatingSuspected = new HashSet<>();
  private final Map<String, Long> retryAtMillis = new HashMap<>();
  private boolean leaseCallOpen;
  private long nextLeaseCallMillis;
  private boolean pending;
  private volatile boolean closed;

  /**
   * Creates a controller; {@link #start} starts it.
   *
   * @param eventLoop runs the controller
   * @param weights versions that operators have named
   * @param backends back ends on record
   * @param policy when engines have to move
   * @param tools calls engines and tells other nodes
   * @param store holds the lease's row
   * @param nodeId id of this node
   * @param guardMillis least time between the orders of two holders of the lease
   * @param time clock
   * @param mayLead whether this node may take the lease at present
   */
  public RolloutController(
      EventLoop eventLoop,
      Section<NamedWeights> weights,
      Section<BackendTable> backends,
      WeightsPolicy policy,
      RolloutTools tools,
      LeaseStore store,
      String nodeId,
      long guardMillis,
      Time time,
      BooleanSupplier mayLead) {
    this.eventLoop = eventLoop;
    this.weights = weights;
    this.backends = backends;
    this.policy = policy;
    this.tools = tools;
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

  /** Gives no further orders. */
  public void close() {
    closed = true;
  }

  private void run() {
    tick();
    long delay = mayLead.getAsBoolean() ? TICK_MILLIS : IDLE_TICK_MILLIS;
    eventLoop.schedule(this::run, delay, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    if (closed || !mayLead.getAsBoolean()) {
      pending = false;
      return;
    }
    long now = time.monotonicMillis();
    List<WeightsPolicy.Move> moves = WeightsPolicy.moves(weights.value(), backends.value());
    RolloutSlots slots = RolloutSlots.of(backends.value());
    long beginAt = moves.isEmpty() ? Long.MAX_VALUE : beginAt(moves, slots);
    if (now < beginAt - LEASE_AHEAD_MILLIS) {
      pending = false;
      return;
    }
    if (!pending) {
      pending = true;
      nextLeaseCallMillis = now + Math.floorMod(nodeId.hashCode(), STAGGER_TICKS) * TICK_MILLIS;
    }
    keepLease(now);
    if (now >= beginAt && lease.mayAct(now)) {
      startUpdates(moves, slots, now);
    }
  }

  /** The engines that can be moved now decide; those that can't be reached are moved when back. */
  private long beginAt(List<WeightsPolicy.Move> moves, RolloutSlots slots) {
    List<WeightsPolicy.Move> sound = new ArrayList<>();
    for (WeightsPolicy.Move move : moves) {
      if (!move.engine().health().isSuspected()) {
        sound.add(move);
      }
    }
    return policy.beginAt(weights.value(), sound.isEmpty() ? moves : sound, slots.sound());
  }

  private void startUpdates(List<WeightsPolicy.Move> moves, RolloutSlots slots, long now) {
    for (WeightsPolicy.Move move : moves) {
      String engine = move.engine().backend().id();
      boolean suspected = move.engine().health().isSuspected();
      Set<String> begun = suspected ? updatingSuspected : updating;
      boolean due = retryAtMillis.getOrDefault(engine, Long.MIN_VALUE) <= now;
      boolean idle = !updating.contains(engine) && !updatingSuspected.contains(engine);
      if (due && idle && begun.size() < slots.limit(suspected)) {
        begun.add(engine);
        new EngineUpdate(eventLoop, tools, move, lease, nodeId, time::monotonicMillis)
            .start()
            .whenCompleteAsync((held, impossible) -> updated(engine, held), eventLoop);
      }
    }
  }

  private void updated(String engine, boolean held) {
    updating.remove(engine);
    updatingSuspected.remove(engine);
    if (held) {
      retryAtMillis.remove(engine);
    } else {
      retryAtMillis.put(engine, time.monotonicMillis() + ENGINE_RETRY_MILLIS);
    }
  }

  private void keepLease(long now) {
    if (leaseCallOpen || now < nextLeaseCallMillis) {
      return;
    }
    leaseCallOpen = true;
    store
        .read()
        .thenComposeAsync(
            reading -> {
              lease.observed(reading, now);
              return claimAfter(reading);
            },
            eventLoop)
        .whenCompleteAsync((written, failure) -> concluded(failure), eventLoop);
  }

  private CompletableFuture<@Nullable Void> claimAfter(LeaseReading reading) {
    Optional<LeaseRow> claim = lease.claim();
    if (claim.isEmpty()) {
      nextLeaseCallMillis =
          time.monotonicMillis() + Math.max(CONTENTION_MILLIS, lease.millisUntilFree());
      return CompletableFuture.completedFuture(null);
    }
    long askedAt = time.monotonicMillis();
    return store
        .write(claim.get(), reading.version())
        .thenAcceptAsync(
            written -> {
              boolean held = lease.mayAct(askedAt);
              lease.written(written, askedAt);
              nextLeaseCallMillis = askedAt + RENEWAL_MILLIS;
              if (!held) {
                Logger.info("event=lease-taken lease=weights fence={}", written.version());
              }
            },
            eventLoop);
  }

  private void concluded(@Nullable Throwable failure) {
    leaseCallOpen = false;
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
