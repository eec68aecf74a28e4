package org.lockdale.gateway.quarantine;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.http.Reachability;
import org.tinylog.Logger;

/**
 * Determines whether backends have crashed when attempts on them are lost: probes their addresses,
 * and checks their records until it is known. Runs on one event loop; lost attempts may be reported
 * from any thread.
 */
public final class CrashWatch {

  /**
   * Delay before the address is probed. A crashed process has released its port by then, and all
   * attempts lost with it have been reported; in a recorded incident these reports came within 4
   * ms.
   */
  private static final long PROBE_DELAY_MILLIS = 20;

  private static final long CHECK_DELAY_MILLIS = 250;

  /** Receives, on the event loop, what lost attempts reveal. */
  interface Listener {

    /**
     * Called when the connection of an attempt was closed; whether the backend crashed is not known
     * yet.
     */
    void onConnectionClosed(LostAttempt attempt);

    /**
     * Called when the connection of an attempt was closed that ran on the incarnation after the one
     * it was meant for, whose record has not been read yet.
     */
    void onClosedByNextIncarnation(LostAttempt attempt);

    /**
     * Called when it is known on which incarnation an attempt ran, if not on the one it was meant
     * for.
     */
    void onAssigned(LostAttempt attempt);

    /** Called when a backend has crashed. */
    void onCrash(BackendCrash crash);
  }

  private final ScheduledExecutorService eventLoop;
  private final Function<InetSocketAddress, CompletableFuture<Reachability>> prober;
  private final Supplier<BackendTable> backends;
  private final Listener listener;
  private final Time time;
  private final CrashDetector detector = new CrashDetector();
  private final Set<String> probing = new HashSet<>();
  private boolean checkScheduled;

  /**
   * Creates a watch.
   *
   * @param eventLoop runs the watch
   * @param prober determines how an address responds to a new connection
   * @param backends backends that have a record
   * @param listener receives the findings
   * @param time clock
   */
  CrashWatch(
      ScheduledExecutorService eventLoop,
      Function<InetSocketAddress, CompletableFuture<Reachability>> prober,
      Supplier<BackendTable> backends,
      Listener listener,
      Time time) {
    this.eventLoop = eventLoop;
    this.prober = prober;
    this.backends = backends;
    this.listener = listener;
    this.time = time;
  }

  /** Reports a lost attempt; from any thread. */
  void attemptLost(LostAttempt attempt) {
    eventLoop.execute(() -> accept(attempt));
  }

  private void accept(LostAttempt lost) {
    long now = time.monotonicMillis();
    LostAttempt attempt =
        detector.assignToIncarnation(lost, backends.get(), now, time.wallMillis());
    String backend = attempt.backend();
    if (!backend.equals(lost.backend())) {
      listener.onAssigned(lost);
    }
    BackendCrash known = detector.recordLoss(attempt, backends.get(), now);
    if (known != null) {
      if (attempt.isClosed()) {
        // Tells this loss from one of the same backend that was taken back before.
        listener.onConnectionClosed(attempt);
      }
      report(known);
    } else if (detector.isUnassigned(attempt)) {
      if (attempt.showsCrashOfNextIncarnation()) {
        listener.onClosedByNextIncarnation(attempt);
      }
      scheduleCheck();
    } else if (!detector.isUnresolved(backend)) {
      if (!attempt.isGivenUp()) {
        Logger.info("event=backend-left backend={} request={}", backend, attempt.request().id());
      }
    } else if (attempt.isGivenUp()) {
      // Nothing indicates a crash yet, so the address is not probed.
      scheduleCheck();
    } else {
      handleBrokenConnection(attempt);
    }
  }

  private void handleBrokenConnection(LostAttempt attempt) {
    if (attempt.isClosed()) {
      listener.onConnectionClosed(attempt);
      detector
          .takeGivenUp(attempt.backend(), backends.get(), time.monotonicMillis())
          .forEach(listener::onConnectionClosed);
    }
    if (probing.add(attempt.backend())) {
      probeAfterDelay(attempt, false);
    }
  }

  private void probeAfterDelay(LostAttempt attempt, boolean closedBefore) {
    eventLoop.schedule(
        () -> probe(attempt, closedBefore), PROBE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void probe(LostAttempt attempt, boolean closedBefore) {
    prober
        .apply(attempt.address())
        .thenAcceptAsync(
            reachability -> handleProbeResult(attempt, reachability, closedBefore), eventLoop);
  }

  private void handleProbeResult(
      LostAttempt attempt, Reachability reachability, boolean closedBefore) {
    String backend = attempt.backend();
    long now = time.monotonicMillis();
    boolean probeAgain = reachability == Reachability.CLOSES && !closedBefore;
    if (probeAgain) {
      probeAfterDelay(attempt, true);
      return;
    }
    probing.remove(backend);
    if (reachability == Reachability.REFUSES) {
      report(
          detector.recordUnreachable(
              backend, CrashEvidence.REFUSES_CONNECTIONS, backends.get(), now));
      return;
    }
    if (reachability == Reachability.CLOSES) {
      report(
          detector.recordUnreachable(
              backend, CrashEvidence.CLOSES_CONNECTIONS, backends.get(), now));
      return;
    }
    // The process that listens may already be the next incarnation; its record will show it.
    Logger.info("event=connection-lost backend={} address={}", backend, reachability);
    scheduleCheck();
  }

  private void scheduleCheck() {
    if (!checkScheduled) {
      checkScheduled = true;
      eventLoop.schedule(this::runCheck, CHECK_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void runCheck() {
    checkScheduled = false;
    detector.checkRecords(backends.get(), time.monotonicMillis()).forEach(this::report);
    detector.takeAssignable(backends.get(), time.monotonicMillis()).forEach(this::accept);
    if (detector.hasUnresolved()) {
      scheduleCheck();
    }
  }

  private void report(@Nullable BackendCrash crash) {
    if (crash == null) {
      return;
    }
    Logger.info(
        "event=backend-ended backend={} evidence={} requests={}",
        crash.backend(),
        crash.evidence(),
        crash.lost().size());
    listener.onCrash(crash);
  }
}
