package org.lockdale.gateway.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * Reads the rows of a table into records, each version of a row once. A table of hundreds of rows
 * changes a row at a time, so reading all of them again would cost hundreds of times what is new.
 * Not safe for use by several threads.
 *
 * @param <T> type of the records
 */
public final class RowReader<T> {

  private record Reading<T>(long version, Optional<T> record) {}

  private final Function<TableRowChange, Optional<T>> parser;
  private Map<String, Reading<T>> readings = new HashMap<>();

  /**
   * Creates a reader.
   *
   * @param parser reads a row, or returns empty for a row of no interest; throws {@link
   *     MalformedRecordException} for one that can't be read
   */
  public RowReader(Function<TableRowChange, Optional<T>> parser) {
    this.parser = parser;
  }

  /** Returns the records of all rows that can be read; one that can't be is logged once. */
  public List<T> read(Map<String, TableRowChange> rows) {
    Map<String, Reading<T>> current = new HashMap<>();
    List<T> records = new ArrayList<>(rows.size());
    for (TableRowChange row : rows.values()) {
      Reading<T> reading = readings.get(row.key());
      if (reading == null || reading.version() != row.version()) {
        reading = new Reading<>(row.version(), parse(row));
      }
      current.put(row.key(), reading);
      reading.record().ifPresent(records::add);
    }
    readings = current;
    return records;
  }

  private Optional<T> parse(TableRowChange row) {
    try {
      return parser.apply(row);
    } catch (MalformedRecordException malformed) {
      Logger.warn("event=row-rejected key={} cause=\"{}\"", row.key(), malformed.getMessage());
      return Optional.empty();
    }
  }
}
