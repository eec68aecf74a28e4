package org.lockdale.gateway.table;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Keeps a copy of a table: scans it whole, then follows its changes, and scans again where the
 * store has forgotten some. Each answer also proves that the copy was current when the call was
 * sent. Runs on one event loop.
 */
public final class TableFollower {

  private static final long FIRST_RETRY_MILLIS = 50;
  private static final long MAX_RETRY_MILLIS = 400;

  /** Receives the copy. */
  @FunctionalInterface
  public interface Listener {
    /**
     * Called after every answer of the store.
     *
     * @param rows all rows by key; only valid during the call
     * @param changed whether anything differs from the last call
     * @param provenAtMillis monotonic time at which the copy was current
     */
    void onTable(Map<String, TableRowChange> rows, boolean changed, long provenAtMillis);
  }

  private final EventLoop eventLoop;
  private final TableFeed feed;
  private final String table;
  private final Duration wait;
  private final Time time;
  private final Listener listener;
  private Map<String, TableRowChange> rows = new HashMap<>();
  private long version;
  private int failures;
  private volatile boolean closed;

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param eventLoop runs the follower and its listener
   * @param feed the store
   * @param table table name
   * @param wait longest time that the store holds a call without changes
   * @param time clock
   * @param listener receives the copy
   */
  public TableFollower(
      EventLoop eventLoop,
      TableFeed feed,
      String table,
      Duration wait,
      Time time,
      Listener listener) {
    this.eventLoop = eventLoop;
    this.feed = feed;
    this.table = table;
    this.wait = wait;
    this.time = time;
    this.listener = listener;
  }

  /** Starts to follow. */
  public void start() {
    eventLoop.execute(this::scan);
  }

  /** Stops following. */
  public void close() {
    closed = true;
  }

  private void scan() {
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
    feed.scan(table, fromKey)
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure != null) {
                retry(failure, this::scan);
                return;
              }
              page.rows().forEach(row -> collected.put(row.key(), row));
              // Changes made between two pages come again with the feed from the first page on.
              long since = fromKey == null ? page.version() : startVersion;
              if (page.more() && !page.rows().isEmpty()) {
                String next = page.rows().get(page.rows().size() - 1).key() + '\0';
                scanFrom(next, collected, startedAtMillis, since);
              } else {
                scanned(collected, since, startedAtMillis);
              }
            },
            eventLoop);
  }

  private void scanned(
      Map<String, TableRowChange> collected, long sinceVersion, long provenAtMillis) {
    failures = 0;
    // A row that was seen newer is never left for an older reading of it.
    collected.replaceAll((key, row) -> newer(row, rows.get(key)));
    rows = collected;
    version = Math.max(version, sinceVersion);
    listener.onTable(rows, true, provenAtMillis);
    follow();
  }

  private static TableRowChange newer(TableRowChange row, @Nullable TableRowChange before) {
    return before != null && before.version() > row.version() ? before : row;
  }

  private void follow() {
    if (closed) {
      return;
    }
    long sentAtMillis = time.monotonicMillis();
    feed.changes(table, version, wait)
        .whenCompleteAsync(
            (page, failure) -> {
              if (failure == null) {
                changed(page, sentAtMillis);
              } else if (kindOf(failure) == TableServiceException.Kind.HISTORY_LOST) {
                Logger.info("event=history-lost table={} version={}", table, version);
                retry(failure, this::scan);
              } else {
                retry(failure, this::follow);
              }
            },
            eventLoop);
  }

  private void changed(TablePage page, long sentAtMillis) {
    if (failures > 0) {
      Logger.info("event=store-back table={} failures={}", table, failures);
    }
    failures = 0;
    version = Math.max(version, page.version());
    apply(page.rows());
    listener.onTable(rows, !page.rows().isEmpty(), sentAtMillis);
    follow();
  }

  private void apply(List<TableRowChange> changes) {
    for (TableRowChange change : changes) {
      TableRowChange before = rows.get(change.key());
      if (before != null && before.version() > change.version()) {
        continue;
      }
      if (change.removed()) {
        rows.remove(change.key());
      } else {
        rows.put(change.key(), change);
      }
    }
  }

  private void retry(Throwable failure, Runnable again) {
    failures++;
    if (failures == 1) {
      Logger.warn("event=store-failed table={} cause={}", table, failure.getMessage());
    }
    long delay = Math.min(FIRST_RETRY_MILLIS << Math.min(failures - 1, 4), MAX_RETRY_MILLIS);
    eventLoop.schedule(again, delay, TimeUnit.MILLISECONDS);
  }

  private static TableServiceException.@Nullable Kind kindOf(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof TableServiceException known ? known.kind() : null;
  }
}
