package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.capacity.AttemptTiming;
import org.lockdale.gateway.capacity.CapacitySummaries;
import org.lockdale.gateway.capacity.EngineCapacity;
import org.lockdale.gateway.capacity.EngineEstimates;
import org.lockdale.gateway.capacity.EngineObservations;
import org.lockdale.gateway.capacity.EngineUse;
import org.lockdale.gateway.capacity.ObservationSchedule;
import org.lockdale.protocol.generated.AttemptTimingRecord;
import org.lockdale.protocol.generated.EngineCapacityRecord;
import org.lockdale.protocol.generated.EngineCapacitySummary;
import org.lockdale.protocol.generated.EngineObservationReport;
import org.lockdale.protocol.generated.EngineUseRecord;
import org.lockdale.protocol.generated.SilentEnginesNotice;
import org.tinylog.Logger;

/**
 * Reports the observations of this node to the relays and, while it is the relay that places
 * requests, tells its estimates to all nodes. Runs on one event loop.
 */
public final class CapacityExchange {

  private static final long TICK_MILLIS = 100;

  /** A notice holds for 2 s at its receivers, so that one lost repetition does no harm. */
  private static final long NOTICE_INTERVAL_MILLIS = 900;

  /** The end of a notice is sent this many times, since a lost one costs 2 s of the engines. */
  private static final int END_NOTICES = 2;

  /** Longer gaps between two ticks mean that this node was stalled or suspended. */
  private static final long MAX_TICK_GAP_MILLIS = 250;

  /** Time after a stall within which the next reports of all nodes arrive. */
  private static final long DETECTION_PAUSE_MILLIS = 600;

  private static final long SUMMARY_INTERVAL_MILLIS = 2_000;

  /** Maximum number of entries in one message, so that it fits into a datagram. */
  private static final int MAX_ENTRIES = 16;

  /**
   * Dependencies of an exchange.
   *
   * @param selfId id of this node
   * @param eventLoop runs the exchange
   * @param datagrams sends the messages
   * @param backends supplies the backends that are in the shared store
   * @param relays supplies the other relays
   * @param peers supplies the addresses of all other nodes
   * @param isRelay whether this node serves as a relay
   * @param hasCoordinator whether another node places the requests of this node
   * @param time clock
   */
  public record Context(
      String selfId,
      EventLoop eventLoop,
      DatagramExchange datagrams,
      Supplier<BackendTable> backends,
      Supplier<List<RelayElection.Relay>> relays,
      Supplier<List<InetSocketAddress>> peers,
      BooleanSupplier isRelay,
      BooleanSupplier hasCoordinator,
      Time time) {}

  private final Context context;
  private final EngineObservations observations;
  private final EngineEstimates estimates;
  private final ObservationSchedule schedule = new ObservationSchedule();
  private final CapacitySummaries summaries = new CapacitySummaries();
  private final Queue<EngineCapacitySummary> pendingSummaries = new ArrayDeque<>();
  private Set<String> noticed = Set.of();
  private int endNotices;
  private long noticedAtMillis;
  private long summarizedAtMillis;
  private long tickedAtMillis = Long.MAX_VALUE / 2;

  /**
   * Creates an exchange; {@link #start} starts it.
   *
   * @param observations observations of this node
   * @param estimates processes the observations of all nodes
   */
  public CapacityExchange(
      Context context, EngineObservations observations, EngineEstimates estimates) {
    this.context = context;
    this.observations = observations;
    this.estimates = estimates;
  }

  /** Starts the periodic reports. */
  public void start() {
    context
        .eventLoop()
        .scheduleAtFixedRate(this::tryTick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tryTick() {
    try {
      tick();
    } catch (RuntimeException failure) {
      // The event loop would not run the task again.
      Logger.error(failure, "event=capacity-tick-failed");
    }
  }

  void tick() {
    long now = context.time().monotonicMillis();
    if (now - tickedAtMillis > MAX_TICK_GAP_MILLIS) {
      // Reports that arrived while this node was stalled may not have been read yet.
      estimates.suspendDetection(now + DETECTION_PAUSE_MILLIS);
    }
    tickedAtMillis = now;
    List<EngineUse> uses = observations.uses();
    List<AttemptTiming> timings = observations.takeTimings();
    estimates.acceptUses(context.selfId(), uses, now);
    estimates.acceptTimings(timings, context.backends().get(), now);
    report(schedule.due(uses, context.time().steadyMillis()), timings);
    update(now);
  }

  private void update(long now) {
    // A relay that does not place requests would act on its own finding a moment before the other
    // one, and its abandoned attempts would then be missing there as evidence.
    boolean decides = !context.hasCoordinator().getAsBoolean();
    EngineEstimates.Changes changes = estimates.update(context.backends().get(), decides, now);
    if (decides) {
      log(changes);
    }
    if (decides && context.isRelay().getAsBoolean()) {
      notifySilent(estimates.detected(), now);
      summarize(now);
    } else {
      noticed = Set.of();
      endNotices = 0;
      pendingSummaries.clear();
    }
    observations.notifySilent(estimates.table().silentEngines());
  }

  private void log(EngineEstimates.Changes changes) {
    changes.silent().forEach(engine -> Logger.warn("event=engine-silent backend={}", engine));
    changes.heard().forEach(engine -> Logger.info("event=engine-heard backend={}", engine));
    Map<String, EngineCapacity> capacities = estimates.table().all();
    for (String engine : changes.slowed()) {
      EngineCapacity capacity = capacities.getOrDefault(engine, EngineCapacity.UNKNOWN);
      Logger.info(
          "event=engine-slowed backend={} factor={} gap-ms={}",
          engine,
          capacity.slowdown(),
          capacity.gapMillis());
    }
  }

  private void report(List<EngineUse> uses, List<AttemptTiming> timings) {
    List<InetSocketAddress> receivers =
        context.relays().get().stream().map(RelayElection.Relay::address).toList();
    int entries = Math.max(uses.size(), timings.size());
    for (int from = 0; from < entries; from += MAX_ENTRIES) {
      List<EngineUseRecord> useRecords =
          part(uses, from).stream().map(CapacityMessages::write).toList();
      List<AttemptTimingRecord> timingRecords =
          part(timings, from).stream().map(CapacityMessages::write).toList();
      context
          .datagrams()
          .sendCapacityMessage(receivers, new EngineObservationReport(useRecords, timingRecords));
    }
  }

  private static <T> List<T> part(List<T> all, int from) {
    return all.subList(Math.min(from, all.size()), Math.min(from + MAX_ENTRIES, all.size()));
  }

  private void notifySilent(Set<String> silent, long now) {
    boolean changed = !silent.equals(noticed);
    if (changed) {
      endNotices = silent.isEmpty() ? END_NOTICES : 0;
    }
    boolean repeats = !silent.isEmpty() && now - noticedAtMillis >= NOTICE_INTERVAL_MILLIS;
    if (changed || repeats || endNotices > 0) {
      endNotices = Math.max(0, endNotices - 1);
      noticed = new HashSet<>(silent);
      noticedAtMillis = now;
      context
          .datagrams()
          .sendCapacityMessage(
              context.peers().get(), new SilentEnginesNotice(List.copyOf(new TreeSet<>(silent))));
    }
  }

  private void summarize(long now) {
    sendSummary();
    if (now - summarizedAtMillis < SUMMARY_INTERVAL_MILLIS || !pendingSummaries.isEmpty()) {
      return;
    }
    summarizedAtMillis = now;
    List<EngineCapacityRecord> due = new ArrayList<>();
    summaries
        .due(estimates.table().all(), now)
        .forEach((engine, capacity) -> due.add(CapacityMessages.write(engine, capacity)));
    for (int from = 0; from < due.size(); from += MAX_ENTRIES) {
      pendingSummaries.add(new EngineCapacitySummary(List.copyOf(part(due, from))));
    }
  }

  /** Sends one message a tick, as a burst to all nodes displaces other datagrams from the link. */
  private void sendSummary() {
    EngineCapacitySummary next = pendingSummaries.poll();
    if (next != null) {
      context.datagrams().sendCapacityMessage(context.peers().get(), next);
    }
  }

  /** Processes the observations of another node. */
  void onReport(String sender, EngineObservationReport report) {
    long now = context.time().monotonicMillis();
    estimates.acceptUses(
        sender, report.getUses().stream().map(CapacityMessages::read).toList(), now);
    estimates.acceptTimings(
        report.getTimings().stream().map(CapacityMessages::read).toList(),
        context.backends().get(),
        now);
  }

  /** Processes the estimates of a relay. */
  void onSummary(EngineCapacitySummary summary) {
    estimates.acceptSummary(CapacityMessages.read(summary), context.time().monotonicMillis());
  }

  /** Processes the notice of a relay, and acts on it at once. */
  void onSilentEngines(String sender, SilentEnginesNotice notice) {
    long now = context.time().monotonicMillis();
    estimates.acceptNotice(sender, new HashSet<>(notice.getEngines()), now);
    update(now);
  }
}
