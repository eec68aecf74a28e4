package org.lockdale.coordination.table;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Tables in memory with conditional writes. Safe for use by several threads. */
public final class InMemoryTables {

  private record RowKey(String table, String key) {}

  private final Map<RowKey, TableRow> rows = new ConcurrentHashMap<>();
  private final AtomicLong writes = new AtomicLong();
  private final AtomicLong reads = new AtomicLong();

  /** Reads a row. */
  public Optional<TableRow> read(String table, String key) {
    reads.incrementAndGet();
    return Optional.ofNullable(rows.get(new RowKey(table, key)));
  }

  /** Creates a row; returns empty if it already exists. */
  public Optional<TableRow> create(String table, String key, byte[] value) {
    TableRow row = new TableRow(value, writes.incrementAndGet());
    boolean created = rows.putIfAbsent(new RowKey(table, key), row) == null;
    return created ? Optional.of(row) : Optional.empty();
  }

  /** Replaces a row; returns empty if it is absent or does not have the expected version. */
  public Optional<TableRow> replace(String table, String key, byte[] value, long expectedVersion) {
    RowKey rowKey = new RowKey(table, key);
    TableRow before = rows.get(rowKey);
    if (before == null || before.version() != expectedVersion) {
      return Optional.empty();
    }
    TableRow row = new TableRow(value, writes.incrementAndGet());
    return rows.replace(rowKey, before, row) ? Optional.of(row) : Optional.empty();
  }

  /** Returns the number of reads so far. */
  public long readCount() {
    return reads.get();
  }

  /**
   * Returns the number of attempted writes, excluding replacements of rows that were absent or had
   * another version.
   */
  public long writeCount() {
    return writes.get();
  }
}
