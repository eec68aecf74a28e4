package org.lockdale.gateway.table;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Reads a table from the store: a scan at the start, and polls for changes at a relay and wherever
 * relays don't prove the copy, a call at a time. Runs on one event loop.
 */
final class StoreReader {

  private static final long FIRST_RETRY_MILLIS = 50;
  private static final long MAX_RETRY_MILLIS = 400;

  /** Retries of nodes that are not relays; all nodes make them while the store is down. */
  private static final long FIRST_DIRECT_RETRY_MILLIS = 200;

  private static final long MAX_DIRECT_RETRY_MILLIS = 1_600;

  /** Number of times that the pause between retries is doubled at most. */
  private static final int MAX_DOUBLINGS = 4;

  /**
   * Time for which companions read directly after each direct read; longer than the time between
   * two of these reads.
   */
  private static final long COMPANION_MILLIS = 1_000;

  /** Shortest pause between two checks of the age of the latest proof. */
  private static final long MIN_WATCH_MILLIS = 100;

  /** Allows for the way to the store and back when a held call ends. */
  private static final long HELD_CALL_MARGIN_MILLIS = 500;

  /** Receives what was read. */
  interface Listener {

    /** Called with a complete table. */
    void onScanned(TableScan.Result scan);

    /**
     * Called with the changes since the last reading.
     *
     * @param sentAtMillis monotonic time at which the call was sent
     */
    void onChanges(TablePage page, long sentAtMillis);

    /** Called when a call has failed. */
    void onUnreachable();

    /** Returns the monotonic time at which the copy was last proven to be current. */
    long provenAtMillis();
  }

  private final ScheduledExecutorService eventLoop;
  private final TableFollower.Sources sources;
  private final TableFollower.Plan plan;
  private final String table;
  private final Time time;
  private final Listener listener;
  private final DirectReadPolicy directReads;
  private List<StoreReader> companions = List.of();
  private long readUpTo;
  private int failures;
  private boolean known;
  private boolean following;
  private boolean readsDirectly;
  private boolean callOpen;
  private volatile boolean closed;

  /** Creates a reader; {@link #start} starts it. */
  StoreReader(
      ScheduledExecutorService eventLoop,
      TableFollower.Sources sources,
      TableFollower.Plan plan,
      Time time,
      Listener listener) {
    this.eventLoop = eventLoop;
    this.sources = sources;
    this.plan = plan;
    this.table = plan.table();
    this.time = time;
    this.listener = listener;
    this.directReads = new DirectReadPolicy(plan.maxRelayProofAge().toMillis());
  }

  /** Starts the first scan. */
  void start() {
    scan();
    watchProofs();
  }

  /** Stops all reading; takes effect at the next call. */
  void close() {
    closed = true;
  }

  /** Sets the readers that read directly for as long as this one succeeds in doing so. */
  void setCompanions(List<StoreReader> readers) {
    companions = List.copyOf(readers);
  }

  /** Starts or stops polling as a relay. */
  void follow(boolean wanted) {
    following = wanted;
    if (wanted) {
      readNext();
    }
  }

  /**
   * Records a proof of the copy that was received over a relay.
   *
   * @param provenAtMillis monotonic time at which the copy was current
   */
  void onRelayProof(long provenAtMillis) {
    known = true;
    directReads.onProof(provenAtMillis);
  }

  /** Returns the version of the store up to which the changes need not be read again. */
  long readUpTo() {
    return readUpTo;
  }

  /** Records that the copy has all changes up to a version of the store. */
  void advanceTo(long version) {
    readUpTo = Math.max(readUpTo, version);
  }

  /** Reads the complete table, unless a call is in progress. */
  void scanUnlessBusy() {
    if (!callOpen) {
      scan();
    }
  }

  private void readNext() {
    if (closed || callOpen) {
      return;
    }
    if (!known) {
      scan();
    } else if (isPolling()) {
      poll();
    }
  }

  private boolean isPolling() {
    return following || directReads.isDue(time.monotonicMillis());
  }

  private void watchProofs() {
    if (closed) {
      return;
    }
    long now = time.monotonicMillis();
    boolean direct = known && !following && directReads.isDue(now);
    if (direct != readsDirectly) {
      readsDirectly = direct;
      Logger.info(
          "event=direct-reads-{} table={} proof-age-ms={}",
          direct ? "started" : "ended",
          table,
          now - listener.provenAtMillis());
    }
    readNext();
    long pause = Math.max(MIN_WATCH_MILLIS, directReads.dueAtMillis() - now);
    eventLoop.schedule(this::watchProofs, pause, TimeUnit.MILLISECONDS);
  }

  private void readDirectlyUntil(long millis) {
    directReads.requestUntil(millis);
    readNext();
  }

  private void scan() {
    callOpen = true;
    new TableScan(sources, table, eventLoop, time, () -> closed)
        .run()
        .whenCompleteAsync(
            (scan, failure) -> {
              if (failure != null) {
                retry(failure, this::scan);
              } else {
                onScanned(scan);
              }
            },
            eventLoop);
  }

  private void onScanned(TableScan.Result scan) {
    failures = 0;
    callOpen = false;
    known = true;
    advanceTo(scan.firstPage().version());
    // Relays get time to prove the copy before it is read again.
    directReads.onProof(scan.startedAtMillis());
    listener.onScanned(scan);
    readNext();
  }

  private void poll() {
    callOpen = true;
    long sentAtMillis = time.monotonicMillis();
    sources
        .feed()
        .changes(table, readUpTo, longestWait(sentAtMillis))
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure == null) {
                onChanges(page, sentAtMillis);
              } else if (kindOf(failure) == TableServiceException.Kind.HISTORY_LOST) {
                Logger.info("event=history-lost table={} version={}", table, readUpTo);
                retry(failure, this::scan);
              } else {
                retry(failure, this::poll);
              }
            },
            eventLoop);
  }

  /** Returns how long the store may hold a call; an old copy is proven at once. */
  private Duration longestWait(long nowMillis) {
    Duration wait = plan.longestWait();
    long age = nowMillis - listener.provenAtMillis();
    return age > wait.toMillis() + HELD_CALL_MARGIN_MILLIS ? Duration.ZERO : wait;
  }

  private void onChanges(TablePage page, long sentAtMillis) {
    if (failures > 0) {
      Logger.info("event=store-back table={} failures={}", table, failures);
    }
    failures = 0;
    callOpen = false;
    listener.onChanges(page, sentAtMillis);
    requestCompanions();
    if (!page.rows().isEmpty() && !plan.batchDelay().isZero()) {
      eventLoop.schedule(this::readNext, plan.batchDelay().toMillis(), TimeUnit.MILLISECONDS);
    } else {
      readNext();
    }
  }

  private void requestCompanions() {
    long now = time.monotonicMillis();
    if (!following && directReads.isDue(now)) {
      companions.forEach(companion -> companion.readDirectlyUntil(now + COMPANION_MILLIS));
    }
  }

  private void retry(Throwable failure, Runnable call) {
    failures++;
    if (kindOf(failure) != TableServiceException.Kind.HISTORY_LOST) {
      listener.onUnreachable();
    }
    if (failures == 1) {
      Logger.warn("event=store-failed table={} cause={}", table, failure.getMessage());
    }
    eventLoop.schedule(
        () -> {
          if (isPolling() || !known) {
            call.run();
          } else {
            callOpen = false;
          }
        },
        retryDelayMillis(),
        TimeUnit.MILLISECONDS);
  }

  private long retryDelayMillis() {
    boolean direct = known && !following;
    long first = direct ? FIRST_DIRECT_RETRY_MILLIS : FIRST_RETRY_MILLIS;
    long longest = direct ? MAX_DIRECT_RETRY_MILLIS : MAX_RETRY_MILLIS;
    return Math.min(first << Math.min(failures - 1, MAX_DOUBLINGS), longest);
  }

  /** Returns the kind of a failed call to the store, or null if it failed otherwise. */
  static TableServiceException.@Nullable Kind kindOf(Throwable failure) {
    Throwable cause = Failures.causeOf(failure);
    return cause instanceof TableServiceException known ? known.kind() : null;
  }
}
