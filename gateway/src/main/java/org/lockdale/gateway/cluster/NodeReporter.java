package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.request.AttemptObserver;
import org.lockdale.gateway.weights.EngineMove;
import org.lockdale.protocol.generated.AttemptOutcome;
import org.lockdale.protocol.generated.AttemptVerdict;
import org.lockdale.protocol.generated.EngineLoad;
import org.lockdale.protocol.generated.EngineMoveRecord;
import org.lockdale.protocol.generated.ExpectedParts;
import org.lockdale.protocol.generated.NodeReport;

/**
 * Reports the load of this node's requests at the backends to the relays, by datagrams: soon after
 * the response to a request has started or the request has ended, and periodically while requests
 * are open. Notes, such as the outcomes of attempts, may be added from any thread; everything else
 * runs on one event loop.
 */
public final class NodeReporter implements AttemptObserver {

  /** Changes within this time go into one message. */
  private static final long BATCH_MILLIS = 10;

  private static final long REPORT_INTERVAL_MILLIS = 500;

  /** Maximum number of notes of each kind that wait to be sent; further ones are dropped. */
  private static final int MAX_PENDING_NOTES = 256;

  /** Maximum number of notes of each kind in one message, so that it fits into a datagram. */
  private static final int MAX_NOTES_IN_MESSAGE = 16;

  private record Reported(BackendWork work, long changeCount, long reportedAtMillis) {}

  private static final Reported NOT_REPORTED = new Reported(BackendWork.NONE, 0, 0);

  private final EventLoop eventLoop;
  private final DatagramExchange datagrams;
  private final Supplier<BackendTable> backends;
  private final Supplier<List<RelayElection.Relay>> receivers;
  private final Time time;
  private final Queue<ExpectedParts> expectations = new ConcurrentLinkedQueue<>();
  private final Queue<AttemptOutcome> outcomes = new ConcurrentLinkedQueue<>();
  private final Queue<EngineMoveRecord> moves = new ConcurrentLinkedQueue<>();
  private final Map<String, Long> latestPlacements = new ConcurrentHashMap<>();
  private final Map<String, Reported> lastReported = new HashMap<>();
  private final AtomicBoolean scheduled = new AtomicBoolean();

  /**
   * Creates a reporter; {@link #start} starts it.
   *
   * @param eventLoop runs the reporter
   * @param datagrams sends its messages
   * @param backends supplies the backends that are in the shared store
   * @param receivers supplies the relays
   * @param time clock
   */
  public NodeReporter(
      EventLoop eventLoop,
      DatagramExchange datagrams,
      Supplier<BackendTable> backends,
      Supplier<List<RelayElection.Relay>> receivers,
      Time time) {
    this.eventLoop = eventLoop;
    this.datagrams = datagrams;
    this.backends = backends;
    this.receivers = receivers;
    this.time = time;
  }

  /** Starts the periodic reports. */
  public void start() {
    eventLoop.scheduleAtFixedRate(
        this::sendReports, REPORT_INTERVAL_MILLIS, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void workChanged() {
    if (scheduled.compareAndSet(false, true)) {
      eventLoop.schedule(this::sendScheduledReports, BATCH_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void sendScheduledReports() {
    scheduled.set(false);
    sendReports();
  }

  /** Adds a note that an engine will soon hold parts of prompts. */
  public void noteExpectedParts(String engine, List<Long> parts) {
    note(expectations, new ExpectedParts(engine, parts));
  }

  @Override
  public void concluded(String engine, AttemptVerdict verdict) {
    note(outcomes, new AttemptOutcome(engine, verdict));
  }

  /** Adds a note on the state of an engine in a rollout. */
  public void noteMove(EngineMove move) {
    note(moves, new EngineMoveRecord(move.engine(), move.model(), move.version(), move.moving()));
  }

  /** Records that a request placed by a relay counts in the reported load from now on. */
  public void noteOpened(String relay, long placement) {
    latestPlacements.merge(relay, placement, Math::max);
  }

  private <T> void note(Queue<T> notes, T note) {
    if (notes.size() < MAX_PENDING_NOTES) {
      notes.add(note);
    }
    workChanged();
  }

  private void sendReports() {
    List<RelayElection.Relay> relays = receivers.get();
    // Read before the loads: a request that is opened in between counts in the next report.
    Map<String, Long> placements = Map.copyOf(latestPlacements);
    List<EngineLoad> loads = dueLoads(relays.isEmpty());
    boolean notes = !expectations.isEmpty() || !outcomes.isEmpty() || !moves.isEmpty();
    while (!loads.isEmpty() || notes) {
      List<EngineLoad> part = loads.subList(0, Math.min(loads.size(), MAX_NOTES_IN_MESSAGE));
      send(relays, List.copyOf(part), placements);
      part.clear();
      notes = !expectations.isEmpty() || !outcomes.isEmpty() || !moves.isEmpty();
    }
  }

  private void send(
      List<RelayElection.Relay> relays, List<EngineLoad> loads, Map<String, Long> placements) {
    NodeReport report = new NodeReport(0L, loads, take(expectations), take(outcomes), take(moves));
    for (RelayElection.Relay relay : relays) {
      report.setLatestPlacement(placements.getOrDefault(relay.id(), 0L));
      datagrams.send(relay.address(), report);
    }
  }

  private static <T> List<T> take(Queue<T> notes) {
    List<T> taken = new ArrayList<>();
    T next = notes.poll();
    while (next != null) {
      taken.add(next);
      next = taken.size() < MAX_NOTES_IN_MESSAGE ? notes.poll() : null;
    }
    return taken;
  }

  private List<EngineLoad> dueLoads(boolean noRelays) {
    List<EngineLoad> loads = new ArrayList<>();
    if (noRelays) {
      return loads;
    }
    long now = time.monotonicMillis();
    for (TrackedBackend tracked : backends.get().all()) {
      String engine = tracked.backend().id();
      Reported last = lastReported.getOrDefault(engine, NOT_REPORTED);
      long changeCount = tracked.load().changeCount();
      BackendWork work = tracked.load().work();
      boolean due =
          now - last.reportedAtMillis() >= REPORT_INTERVAL_MILLIS - BATCH_MILLIS && !work.isNone();
      if (changeCount != last.changeCount() || due) {
        lastReported.put(engine, new Reported(work, changeCount, now));
        loads.add(
            new EngineLoad(
                engine, work.waitingTokens(), work.runningTokens(), work.openRequests()));
      }
    }
    return loads;
  }

  /** Drops the state of backends that are not among those given. */
  public void retain(Set<String> engines) {
    lastReported.keySet().retainAll(engines);
  }
}
