package org.lockdale.gateway.table;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.table.StoreVersion;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Keeps a copy of a table current. It first scans the complete table. At a relay node, which {@link
 * #follow follows} the store, it then polls the store for changes, and scans again if the store no
 * longer holds some of them. Elsewhere a relay announces new versions, and the changes are read
 * from that relay; while relays don't prove the copy, the store is polled here as well. Each
 * response also proves that the copy was current at some time. Runs on one event loop.
 */
public final class TableFollower {

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Receives the copy and its proofs. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called after every proof.
     *
     * @param rows all rows by key; valid only during the call
     * @param changed whether any row may differ from the last call
     * @param provenAtMillis monotonic time at which the copy was current
     */
    void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis);

    /**
     * Called before {@link #onTable} after the store was restored from an older copy. Rows may be
     * missing or out of date until their writers write them again.
     */
    default void onHistoryReplaced() {}

    /** Called when a call to the store for this table has failed. */
    default void onUnreachable() {}
  }

  /**
   * The sources from which a table is read.
   *
   * @param feed reads from the store
   * @param peers reads from other nodes
   * @param clock the store's clock
   */
  public record Sources(TableFeed feed, TablePeers peers, StoreClock clock) {}

  /**
   * The parameters for following a table.
   *
   * @param table name of the table
   * @param longestWait longest time for which the store holds a call while there are no changes
   * @param batchDelay pause before the next call to the store after a change, which batches further
   *     changes
   * @param maxRelayProofAge age of the latest proof from a relay at which the store is read instead
   */
  public record Plan(
      String table, Duration longestWait, Duration batchDelay, Duration maxRelayProofAge) {}

  private final ScheduledExecutorService eventLoop;
  private final Sources sources;
  private final String table;
  private final Time time;
  private final Listener listener;
  private final TableCopy copy = new TableCopy();
  private final RelayReads relayReads = new RelayReads();
  private final StoreReader storeReader;
  private long provenStoreMillis;
  private long readStoreMillis;
  private long provenAtMillis = NEVER;
  private long provenEra;

  /** Whether the listener has not processed the latest change yet. */
  private boolean changeUnprocessed;

  /** Whether the changes that this copy lacks are being read from a node that is not a relay. */
  private boolean readingMissingChanges;

  private volatile boolean closed;

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param eventLoop runs the follower and its listener
   * @param sources sources from which the table is read
   * @param plan parameters for following the table
   * @param time clock
   * @param listener receives the copy and its proofs
   */
  public TableFollower(
      ScheduledExecutorService eventLoop,
      Sources sources,
      Plan plan,
      Time time,
      Listener listener) {
    this.eventLoop = eventLoop;
    this.sources = sources;
    this.table = plan.table();
    this.time = time;
    this.listener = listener;
    this.storeReader = new StoreReader(eventLoop, sources, plan, time, new StoreReadings());
  }

  /** Starts to scan the complete table. */
  public void start() {
    eventLoop.execute(storeReader::start);
  }

  /**
   * Sets the followers of other tables that read from the store for as long as this one succeeds in
   * doing so. To be called before {@link #start}.
   */
  public void setCompanions(List<TableFollower> followers) {
    storeReader.setCompanions(followers.stream().map(follower -> follower.storeReader).toList());
  }

  /** Starts or stops polling the store for changes. Must be called on the event loop. */
  public void follow(boolean wanted) {
    storeReader.follow(wanted);
  }

  /** Stops all reading; takes effect at the next call. */
  public void close() {
    closed = true;
    storeReader.close();
  }

  /** Returns the name of the table. */
  public String table() {
    return table;
  }

  /** Returns whether the table has been read at least once. */
  public boolean isKnown() {
    return copy.lastChange() != TableCopy.UNKNOWN;
  }

  /** Returns the monotonic time at which the copy was last proven to be current. */
  public long provenAtMillis() {
    return provenAtMillis;
  }

  /**
   * Returns the latest proof that rests on this node's own reading of the store. Proofs received
   * from relays are not announced again: a relay without access to the store would appear to read
   * it, and the only relay that does could retire in favour of those that repeat its proofs.
   */
  public TableProof proof() {
    return new TableProof(table, copy.lastChange(), readStoreMillis);
  }

  /**
   * Returns whether a node that has all changes up to a version should read the later ones from the
   * store, since they are too large to send to each node. Must be called on the event loop.
   */
  public boolean exceedsTransferLimitAfter(long version) {
    return copy.exceedsTransferLimitAfter(version);
  }

  /**
   * Returns the changes after a version, or all rows if the copy no longer holds these changes,
   * with the proof of this copy. Must be called on the event loop.
   */
  public TablePeers.Response respond(long afterVersion) {
    return new TablePeers.Response(
        copy.changesAfter(afterVersion),
        provenStoreMillis,
        time.monotonicMillis() - provenAtMillis);
  }

  /**
   * Processes a proof announced by a relay, and reads the changes that this copy lacks from that
   * relay. Must be called on the event loop.
   *
   * @return false if reading from the relay failed; true otherwise, also if nothing was read, as
   *     while a read from a relay is in progress
   */
  public CompletableFuture<Boolean> onProofAnnounced(InetSocketAddress relay, TableProof proof) {
    boolean usable = proof.lastChange() >= 0 && !closed;
    if (usable && proof.lastChange() > copy.lastChange()) {
      return relayReads.begin(relay) ? readFrom(relay) : CompletableFuture.completedFuture(true);
    }
    if (usable && !relayReads.inProgress()) {
      long provenAt = sources.clock().localMillis(proof.storeMillis());
      recordProof(proof.storeMillis(), provenAt, false);
      storeReader.onRelayProof(provenAt);
    }
    return CompletableFuture.completedFuture(true);
  }

  /**
   * Reads the changes that this copy lacks from another node whose copy is newer, unless such a
   * read is in progress. It doesn't wait for a read from a relay, which may not respond any more.
   * Must be called on the event loop.
   */
  public void readMissingChanges(InetSocketAddress peer) {
    if (closed || readingMissingChanges) {
      return;
    }
    readingMissingChanges = true;
    readChanges(peer)
        .whenCompleteAsync((read, failure) -> onMissingChangesRead(peer, failure), eventLoop);
  }

  private void onMissingChangesRead(InetSocketAddress peer, @Nullable Throwable failure) {
    readingMissingChanges = false;
    if (failure != null) {
      Logger.info(
          "event=peer-read-failed table={} node={} cause=\"{}\"",
          table,
          peer,
          failure.getMessage());
    }
  }

  private CompletableFuture<Boolean> readFrom(InetSocketAddress relay) {
    return readChanges(relay)
        .handleAsync((read, failure) -> onReadFromRelay(relay, failure), eventLoop);
  }

  private CompletableFuture<@Nullable Void> readChanges(InetSocketAddress peer) {
    return readFrom(peer, copy.lastChange())
        .exceptionallyComposeAsync(
            failure ->
                Failures.causeOf(failure) instanceof TransferTooLargeException
                    ? readFromStoreOrRelay(peer)
                    : CompletableFuture.failedFuture(failure),
            eventLoop);
  }

  private boolean onReadFromRelay(InetSocketAddress relay, @Nullable Throwable failure) {
    Optional<InetSocketAddress> alternative = relayReads.end(failure != null);
    if (failure != null) {
      Logger.info(
          "event=relay-failed table={} relay={} cause=\"{}\"", table, relay, failure.getMessage());
    }
    alternative.ifPresent(this::readFrom);
    return failure == null;
  }

  private CompletableFuture<@Nullable Void> readFrom(InetSocketAddress relay, long afterChange) {
    long sentAtMillis = time.monotonicMillis();
    return sources
        .peers()
        .changes(relay, table, afterChange)
        .thenAcceptAsync(response -> accept(response, sentAtMillis), eventLoop);
  }

  /**
   * Reads the changes from the store, or the relay's complete copy if the store doesn't respond.
   */
  private CompletableFuture<@Nullable Void> readFromStoreOrRelay(InetSocketAddress relay) {
    long sentAtMillis = time.monotonicMillis();
    return sources
        .feed()
        .changes(table, storeReader.readUpTo(), Duration.ZERO)
        .thenAcceptAsync(page -> acceptFromStore(page, sentAtMillis), eventLoop)
        .exceptionallyComposeAsync(failure -> readAllAfterFailure(failure, relay), eventLoop);
  }

  /**
   * Reads all rows: from the relay if the store failed, and otherwise by a scan of the store, since
   * sending all rows to each node would saturate the relay's link.
   */
  private CompletableFuture<@Nullable Void> readAllAfterFailure(
      Throwable failure, InetSocketAddress relay) {
    if (StoreReader.kindOf(failure) != TableServiceException.Kind.HISTORY_LOST) {
      return readFrom(relay, TableCopy.UNKNOWN);
    }
    storeReader.scanUnlessBusy();
    return CompletableFuture.completedFuture(null);
  }

  private void acceptFromStore(TablePage page, long sentAtMillis) {
    applyChanges(page, sentAtMillis);
    copy.advanceTo(page.version());
    recordProofOf(page, sentAtMillis);
  }

  private void applyChanges(TablePage page, long sentAtMillis) {
    sources.clock().observe(page.storeMillis(), sentAtMillis);
    storeReader.advanceTo(page.version());
    copy.apply(page.rows());
  }

  private void recordProofOf(TablePage page, long sentAtMillis) {
    long provenAt = Math.max(sentAtMillis, sources.clock().localMillis(page.storeMillis()));
    recordReading(page.storeMillis(), provenAt, !page.rows().isEmpty());
  }

  private void recordReading(long storeMillis, long atMillis, boolean changed) {
    readStoreMillis = Math.max(readStoreMillis, storeMillis);
    recordProof(storeMillis, atMillis, changed);
  }

  private void accept(TablePeers.Response response, long sentAtMillis) {
    TableChanges changes = response.changes();
    if (changes.lastChange() < copy.lastChange()) {
      return;
    }
    copy.accept(changes);
    storeReader.advanceTo(changes.lastChange());
    long provenAt = sentAtMillis - response.ageMillis();
    sources.clock().observe(response.storeMillis(), provenAt);
    // The relay wrote the response after sentAtMillis, so the proof is dated no later than it was.
    recordProof(response.storeMillis(), provenAt, true);
    storeReader.onRelayProof(provenAt);
  }

  private void recordProof(long storeMillis, long atMillis, boolean changed) {
    long era = StoreVersion.ofPacked(Math.max(0, copy.lastChange())).era();
    if (era > provenEra && provenAtMillis != NEVER) {
      Logger.info("event=table-history-replaced table={} era={}", table, era);
      listener.onHistoryReplaced();
    }
    provenEra = Math.max(provenEra, era);
    provenStoreMillis = Math.max(provenStoreMillis, storeMillis);
    provenAtMillis = Math.max(provenAtMillis, atMillis);
    changeUnprocessed |= changed;
    processCopy();
  }

  /** Has the listener process the copy. If it fails, the table is followed all the same. */
  private void processCopy() {
    try {
      listener.onTable(copy.rows(), changeUnprocessed, provenAtMillis);
      changeUnprocessed = false;
    } catch (RuntimeException | StackOverflowError failure) {
      Logger.error(failure, "event=table-not-processed table={}", table);
    }
  }

  /** Applies what is read from the store to the copy. */
  private final class StoreReadings implements StoreReader.Listener {

    @Override
    public void onScanned(TableScan.Result scan) {
      TablePage first = scan.firstPage();
      copy.replace(scan.rows(), first.version());
      // The store read its clock after the scan was sent, so the proof is not dated too late.
      recordReading(first.storeMillis(), scan.startedAtMillis(), true);
    }

    @Override
    public void onChanges(TablePage page, long sentAtMillis) {
      applyChanges(page, sentAtMillis);
      recordProofOf(page, sentAtMillis);
    }

    @Override
    public void onUnreachable() {
      listener.onUnreachable();
    }

    @Override
    public long provenAtMillis() {
      return provenAtMillis;
    }
  }
}
