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
 * Finds out whether back ends have ended when attempts at them break off: asks their address, and
 * looks at their records while it is not known. Runs on one event loop; attempts may be told from
 * any thread.
 */
public final class CrashWatch {

  /**
   * An ended process has let go of its port by then, and the attempts that it took along have all
   * been told; in the recorded incident they came within 4 ms.
   */
  private static final long PROBE_DELAY_MILLIS = 20;

  private static final long LOOK_MILLIS = 250;

  /** Told on the event loop of what attempts that break off show. */
  interface Listener {

    /** A connection was closed under an attempt; whether its back end ended is not known yet. */
    void onConnectionClosed(LostAttempt attempt);

    /** A back end has ended. */
    void onCrash(BackendCrash end);
  }

  private final ScheduledExecutorService eventLoop;
  private final Function<InetSocketAddress, CompletableFuture<Reachability>> prober;
  private final Supplier<BackendTable> backends;
  private final Listener listener;
  private final Time time;
  private final CrashDetector detector = new CrashDetector();
  private final Set<String> probing = new HashSet<>();
  private boolean looking;

  /**
   * Creates a watch.
   *
   * @param eventLoop runs the watch
   * @param prober tells what an address does with a new connection
   * @param backends back ends on record
   * @param listener told of what is found
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

  /** Takes in an attempt that broke off. */
  void attemptLost(LostAttempt attempt) {
    eventLoop.execute(() -> accept(attempt));
  }

  private void accept(LostAttempt lost) {
    long now = time.monotonicMillis();
    LostAttempt attempt =
        detector.assignToIncarnation(lost, backends.get(), now, time.wallMillis());
    String backend = attempt.backend();
    BackendCrash known = detector.recordLoss(attempt, backends.get(), now);
    if (known != null) {
      tell(known);
    } else if (detector.isUnassigned(attempt)) {
      look();
    } else if (!detector.isUnresolved(backend)) {
      if (!attempt.isGivenUp()) {
        Logger.info("event=backend-left backend={} request={}", backend, attempt.request().id());
      }
    } else if (attempt.isGivenUp()) {
      // Nothing speaks for an end yet, so its address isn't asked.
      look();
    } else {
      broken(attempt);
    }
  }

  private void broken(LostAttempt attempt) {
    if (attempt.isClosed()) {
      listener.onConnectionClosed(attempt);
      detector
          .takeRecentlyGivenUp(attempt.backend(), backends.get(), time.monotonicMillis())
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
        .thenAcceptAsync(reachability -> probed(attempt, reachability, closedBefore), eventLoop);
  }

  private void probed(LostAttempt attempt, Reachability reachability, boolean closedBefore) {
    String backend = attempt.backend();
    long now = time.monotonicMillis();
    boolean again = reachability == Reachability.CLOSES && !closedBefore;
    if (again) {
      probeAfterDelay(attempt, true);
      return;
    }
    probing.remove(backend);
    if (reachability == Reachability.REFUSES) {
      tell(
          detector.recordUnreachable(
              backend, CrashEvidence.REFUSES_CONNECTIONS, backends.get(), now));
      return;
    }
    if (reachability == Reachability.CLOSES) {
      tell(
          detector.recordUnreachable(
              backend, CrashEvidence.CLOSES_CONNECTIONS, backends.get(), now));
      return;
    }
    // A process that listens may be the next one already; its record will tell.
    Logger.info("event=connection-lost backend={} address={}", backend, reachability);
    look();
  }

  private void look() {
    if (!looking) {
      looking = true;
      eventLoop.schedule(this::looked, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void looked() {
    looking = false;
    detector.checkRecords(backends.get(), time.monotonicMillis()).forEach(this::tell);
    detector.takeAssignable(backends.get(), time.monotonicMillis()).forEach(this::accept);
    if (detector.hasUnresolved()) {
      look();
    }
  }

  private void tell(@Nullable BackendCrash end) {
    if (end == null) {
      return;
    }
    Logger.info(
        "event=backend-ended backend={} evidence={} requests={}",
        end.backend(),
        end.evidence(),
        end.lost().size());
    listener.onCrash(end);
  }
}
