package org.lockdale.gateway.table;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;

/** Reads a complete table from the store, page by page. Used once. */
final class TableScan {

  /**
   * A completed scan.
   *
   * @param rows all rows by key; those that changed during the scan may be old or missing
   * @param firstPage first page; changes during the scan have later versions than it
   * @param startedAtMillis monotonic time at which the first page was requested
   */
  record Result(Map<String, TableRowChange> rows, TablePage firstPage, long startedAtMillis) {}

  private final TableFollower.Sources sources;
  private final String table;
  private final Executor executor;
  private final Time time;
  private final BooleanSupplier cancelled;
  private final Map<String, TableRowChange> rows = new HashMap<>();
  private final long startedAtMillis;
  private @Nullable TablePage firstPage;

  /**
   * Creates a scan; {@link #run} starts it.
   *
   * @param sources sources from which the table is read
   * @param table name of the table
   * @param executor processes the pages
   * @param time clock
   * @param cancelled returns whether no further page should be read
   */
  TableScan(
      TableFollower.Sources sources,
      String table,
      Executor executor,
      Time time,
      BooleanSupplier cancelled) {
    this.sources = sources;
    this.table = table;
    this.executor = executor;
    this.time = time;
    this.cancelled = cancelled;
    this.startedAtMillis = time.monotonicMillis();
  }

  /** Reads all pages. The future doesn't complete if the scan is cancelled. */
  CompletableFuture<Result> run() {
    return readFrom(null);
  }

  private CompletableFuture<Result> readFrom(@Nullable String key) {
    if (cancelled.getAsBoolean()) {
      return new CompletableFuture<>();
    }
    long sentAtMillis = time.monotonicMillis();
    return sources
        .feed()
        .scan(table, key)
        .thenComposeAsync(page -> onPage(page, sentAtMillis), executor);
  }

  private CompletableFuture<Result> onPage(TablePage page, long sentAtMillis) {
    sources.clock().observe(page.storeMillis(), sentAtMillis);
    page.rows().forEach(row -> rows.put(row.key(), row));
    TablePage first = firstPage == null ? page : firstPage;
    firstPage = first;
    if (page.more() && !page.rows().isEmpty()) {
      return readFrom(page.rows().get(page.rows().size() - 1).key() + '\0');
    }
    return CompletableFuture.completedFuture(new Result(rows, first, startedAtMillis));
  }
}
