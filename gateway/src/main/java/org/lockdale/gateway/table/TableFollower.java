package org.lockdale.gateway.table;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.table.StoreVersion;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Keeps a copy of a table. At first it scans the table whole. Then it follows the store's changes
 * while it is told to, scanning again where the store has forgotten some; otherwise it reads the
 * changes that a relay announces from that relay. Each answer also proves that the copy was
 * current. Runs on one event loop.
 */
public final class TableFollower {

  private static final long FIRST_RETRY_MILLIS = 50;
  private static final long MAX_RETRY_MILLIS = 400;
  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Receives the copy. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called after every proof.
     *
     * @param rows all rows by key; only valid during the call
     * @param changed whether anything may differ from the last call
     * @param provenAtMillis monotonic time at which the copy was current
     */
    void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis);

    /**
     * Called before {@link #onTable} where the store has come back from an older copy: rows may be
     * missing, or be earlier ones, until their writers have written them again.
     */
    default void onHistoryReplaced() {}

    /** Called when the store did not answer a call for the table. */
    default void onUnreachable() {}
  }

  /**
   * Where a table is read.
   *
   * @param feed the store
   * @param peers other nodes
   * @param clock the store's clock
   */
  public record Sources(TableFeed feed, TablePeers peers, StoreClock clock) {}

  /**
   * How a table is followed.
   *
   * @param table name of the table
   * @param longestWait longest time that the store holds a call without changes
   * @param gather time between two calls to the store after a change, in which further ones come
   */
  public record Plan(String table, Duration longestWait, Duration gather) {}

  private final EventLoop eventLoop;
  private final Sources sources;
  private final String table;
  private final Duration wait;
  private final Duration gather;
  private final Time time;
  private final Listener listener;
  private final TableCopy copy = new TableCopy();
  private long followedTo;
  private long provenStoreMillis;
  private long provenAtMillis = NEVER;
  private long provenEra;
  private int failures;
  private boolean following;
  private boolean callOpen;
  private boolean peerCallOpen;
  private volatile boolean closed;

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param eventLoop runs the follower and its listener
   * @param sources where the table is read
   * @param plan how the table is followed
   * @param time clock
   * @param listener receives the copy
   */
  public TableFollower(
      EventLoop eventLoop, Sources sources, Plan plan, Time time, Listener listener) {
    this.eventLoop = eventLoop;
    this.sources = sources;
    this.table = plan.table();
    this.wait = plan.longestWait();
    this.gather = plan.gather();
    this.time = time;
    this.listener = listener;
  }

  /** Reads the table whole for the first time. */
  public void start() {
    eventLoop.execute(this::scan);
  }

  /** Follows the store's changes, or ceases to; to be called on the event loop. */
  public void follow(boolean wanted) {
    following = wanted;
    if (wanted) {
      next();
    }
  }

  /** Stops following. */
  public void close() {
    closed = true;
  }

  /** Returns the name of the table. */
  public String table() {
    return table;
  }

  /** Returns whether the table was read at least once. */
  public boolean isKnown() {
    return copy.lastChange() != TableCopy.UNKNOWN;
  }

  /** Returns the monotonic time at which the copy was last proven to be current. */
  public long provenAtMillis() {
    return provenAtMillis;
  }

  /** Returns the newest proof. */
  public TableProof proof() {
    return new TableProof(table, copy.lastChange(), provenStoreMillis);
  }

  /**
   * Returns whether who knows all changes up to a version had better ask the store; to be called on
   * the event loop.
   */
  public boolean hasTooMuchToTellAfter(long version) {
    return copy.hasTooMuchToTellAfter(version);
  }

  /** Returns what changed after a version; to be called on the event loop. */
  public TableChanges changesAfter(long version) {
    return copy.changesAfter(version);
  }

  /**
   * Takes in a proof of a relay, and reads from it what this copy lacks; to be called on the event
   * loop.
   *
   * @return whether the copy is current by the proof, or will be once the relay has answered
   */
  public CompletableFuture<Boolean> announced(InetSocketAddress relay, TableProof proof) {
    if (proof.lastChange() < 0 || peerCallOpen || closed) {
      return CompletableFuture.completedFuture(true);
    }
    if (proof.lastChange() > copy.lastChange()) {
      return readFrom(relay);
    }
    prove(proof.storeMillis(), sources.clock().localMillis(proof.storeMillis()), false);
    return CompletableFuture.completedFuture(true);
  }

  private CompletableFuture<Boolean> readFrom(InetSocketAddress relay) {
    peerCallOpen = true;
    return readFrom(relay, copy.lastChange())
        .exceptionallyComposeAsync(
            failure ->
                Failures.causeOf(failure) instanceof TooMuchToTellException
                    ? readFromStoreOr(relay)
                    : CompletableFuture.failedFuture(failure),
            eventLoop)
        .handleAsync((read, failure) -> hasRead(relay, failure), eventLoop);
  }

  private boolean hasRead(InetSocketAddress relay, @Nullable Throwable failure) {
    peerCallOpen = false;
    if (failure != null) {
      Logger.info(
          "event=relay-failed table={} relay={} cause=\"{}\"", table, relay, failure.getMessage());
    }
    return failure == null;
  }

  private CompletableFuture<@Nullable Void> readFrom(InetSocketAddress relay, long afterChange) {
    long sentAtMillis = time.monotonicMillis();
    return sources
        .peers()
        .changes(relay, table, afterChange)
        .thenAcceptAsync(answer -> accept(answer, sentAtMillis), eventLoop);
  }

  /** Where the store doesn't answer this node, the relay tells all of its copy. */
  private CompletableFuture<@Nullable Void> readFromStoreOr(InetSocketAddress relay) {
    long sentAtMillis = time.monotonicMillis();
    return sources
        .feed()
        .changes(table, followedTo, Duration.ZERO)
        .thenAcceptAsync(page -> acceptFromStore(page, sentAtMillis), eventLoop)
        .exceptionallyComposeAsync(failure -> readAllAfter(failure, relay), eventLoop);
  }

  /** All rows are read from the store where it can tell them, since they would fill a link. */
  private CompletableFuture<@Nullable Void> readAllAfter(
      Throwable failure, InetSocketAddress relay) {
    if (kindOf(failure) != TableServiceException.Kind.HISTORY_LOST) {
      return readFrom(relay, TableCopy.UNKNOWN);
    }
    if (!callOpen) {
      scan();
    }
    return CompletableFuture.completedFuture(null);
  }

  private void acceptFromStore(TablePage page, long sentAtMillis) {
    applyChanges(page, sentAtMillis);
    copy.advanceTo(page.version());
    provenBy(page, sentAtMillis);
  }

  private void applyChanges(TablePage page, long sentAtMillis) {
    sources.clock().observe(page.storeMillis(), sentAtMillis);
    followedTo = Math.max(followedTo, page.version());
    copy.apply(page.rows());
  }

  private void provenBy(TablePage page, long sentAtMillis) {
    long provenAt = Math.max(sentAtMillis, sources.clock().localMillis(page.storeMillis()));
    prove(page.storeMillis(), provenAt, !page.rows().isEmpty());
  }

  private void accept(TablePeers.Answer answer, long sentAtMillis) {
    TableChanges changes = answer.changes();
    if (changes.lastChange() < copy.lastChange()) {
      return;
    }
    copy.accept(changes);
    followedTo = Math.max(followedTo, changes.lastChange());
    sources.clock().observe(answer.storeMillis(), sentAtMillis - answer.ageMillis());
    // The answer was written after it was asked for, so its proof is no older than its age now.
    prove(answer.storeMillis(), sentAtMillis - answer.ageMillis(), true);
  }

  private void prove(long storeMillis, long atMillis, boolean changed) {
    long era = StoreVersion.ofPacked(Math.max(0, copy.lastChange())).era();
    if (era > provenEra && provenAtMillis != NEVER) {
      Logger.info("event=table-history-replaced table={} era={}", table, era);
      listener.onHistoryReplaced();
    }
    provenEra = Math.max(provenEra, era);
    provenStoreMillis = Math.max(provenStoreMillis, storeMillis);
    provenAtMillis = Math.max(provenAtMillis, atMillis);
    listener.onTable(copy.rows(), changed, provenAtMillis);
  }

  private void next() {
    if (closed || callOpen) {
      return;
    }
    if (!isKnown()) {
      scan();
    } else if (following) {
      poll();
    }
  }

  private void scan() {
    callOpen = true;
    scanFrom(null, new HashMap<>(), time.monotonicMillis(), 0);
  }

  private void scanFrom(
      @Nullable String fromKey,
      Map<String, TableRowChange> collected,
      long startedAtMillis,
      long startVersion) {
    if (closed) {
      return;
    }
    long sentAtMillis = time.monotonicMillis();
    sources
        .feed()
        .scan(table, fromKey)
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure != null) {
                retry(failure, this::scan);
                return;
              }
              sources.clock().observe(page.storeMillis(), sentAtMillis);
              page.rows().forEach(row -> collected.put(row.key(), row));
              // Changes made between two pages come again with the feed from the first page on.
              long since = fromKey == null ? page.version() : startVersion;
              if (page.more() && !page.rows().isEmpty()) {
                String next = page.rows().get(page.rows().size() - 1).key() + '\0';
                scanFrom(next, collected, startedAtMillis, since);
              } else {
                scanned(collected, since, startedAtMillis, page.storeMillis());
              }
            },
            eventLoop);
  }

  private void scanned(
      Map<String, TableRowChange> collected,
      long sinceVersion,
      long startedAtMillis,
      long storeMillis) {
    failures = 0;
    callOpen = false;
    copy.replace(collected, sinceVersion);
    followedTo = Math.max(followedTo, sinceVersion);
    long elapsed = time.monotonicMillis() - startedAtMillis;
    prove(storeMillis - elapsed, startedAtMillis, true);
    next();
  }

  private void poll() {
    callOpen = true;
    long sentAtMillis = time.monotonicMillis();
    sources
        .feed()
        .changes(table, followedTo, wait)
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure == null) {
                changed(page, sentAtMillis);
              } else if (kindOf(failure) == TableServiceException.Kind.HISTORY_LOST) {
                Logger.info("event=history-lost table={} version={}", table, followedTo);
                retry(failure, this::scan);
              } else {
                retry(failure, this::poll);
              }
            },
            eventLoop);
  }

  private void changed(TablePage page, long sentAtMillis) {
    if (failures > 0) {
      Logger.info("event=store-back table={} failures={}", table, failures);
    }
    failures = 0;
    callOpen = false;
    applyChanges(page, sentAtMillis);
    provenBy(page, sentAtMillis);
    if (!page.rows().isEmpty() && !gather.isZero()) {
      eventLoop.schedule(this::next, gather.toMillis(), TimeUnit.MILLISECONDS);
    } else {
      next();
    }
  }

  private void retry(Throwable failure, Runnable again) {
    failures++;
    if (kindOf(failure) != TableServiceException.Kind.HISTORY_LOST) {
      listener.onUnreachable();
    }
    if (failures == 1) {
      Logger.warn("event=store-failed table={} cause={}", table, failure.getMessage());
    }
    long delay = Math.min(FIRST_RETRY_MILLIS << Math.min(failures - 1, 4), MAX_RETRY_MILLIS);
    eventLoop.schedule(
        () -> {
          if (following || !isKnown()) {
            again.run();
          } else {
            callOpen = false;
          }
        },
        delay,
        TimeUnit.MILLISECONDS);
  }

  private static TableServiceException.@Nullable Kind kindOf(Throwable failure) {
    Throwable cause = Failures.causeOf(failure);
    return cause instanceof TableServiceException known ? known.kind() : null;
  }
}
