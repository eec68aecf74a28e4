package org.lockdale.gateway.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.tinylog.Logger;

/**
 * Parses the rows of a table into records, each version of a row once. A table of hundreds of rows
 * changes one row at a time, so parsing all of them again would cost hundreds of times as much. Not
 * safe for use by several threads.
 *
 * @param <T> type of the records
 */
public final class RowReader<T> {

  /**
   * Maximum number of rejected rows that one reading logs. A table is read a few times a second,
   * and a foreign writer may put thousands of rows into it.
   */
  private static final int MAX_LOGGED = 3;

  /** Maximum length of a logged text of a rejected row, in characters. */
  private static final int MAX_LOGGED_TEXT = 200;

  private record Reading<T>(long version, Optional<T> record) {}

  private final Function<TableRowChange, Optional<T>> parser;
  private Map<String, Reading<T>> readings = new HashMap<>();

  /**
   * Creates a reader.
   *
   * @param parser parses a row; returns empty for a row to skip, and throws {@link
   *     MalformedRecordException} for one that can't be parsed. Any other failure counts as well
   */
  public RowReader(Function<TableRowChange, Optional<T>> parser) {
    this.parser = parser;
  }

  /**
   * Returns the records of all rows that can be parsed. A version of a row that can't be parsed is
   * skipped, and logged at most once.
   */
  public List<T> read(Map<String, TableRowChange> rows) {
    Map<String, Reading<T>> current = new HashMap<>();
    List<T> records = new ArrayList<>(rows.size());
    int rejected = 0;
    for (TableRowChange row : rows.values()) {
      Reading<T> reading = readings.get(row.key());
      if (reading == null || reading.version() != row.version()) {
        Optional<T> record = Optional.empty();
        try {
          record = parser.apply(row);
        } catch (RuntimeException | StackOverflowError malformed) {
          // A row of another writer may hold anything, and must not keep the others from being
          // read.
          rejected++;
          logRejected(row, malformed, rejected);
        }
        reading = new Reading<>(row.version(), record);
      }
      current.put(row.key(), reading);
      reading.record().ifPresent(records::add);
    }
    if (rejected > MAX_LOGGED) {
      Logger.warn("event=rows-rejected count={}", rejected);
    }
    readings = current;
    return records;
  }

  private static void logRejected(TableRowChange row, Throwable malformed, int rejected) {
    if (rejected <= MAX_LOGGED) {
      Logger.warn(
          "event=row-rejected key={} cause=\"{}\"",
          printable(row.key()),
          printable(
              malformed instanceof MalformedRecordException
                  ? malformed.getMessage()
                  : malformed.toString()));
    }
  }

  /** Returns a text as one short line of printable ASCII; rows may contain any bytes. */
  private static String printable(String text) {
    String start = text.length() <= MAX_LOGGED_TEXT ? text : text.substring(0, MAX_LOGGED_TEXT);
    return start.replaceAll("[^\\x20-\\x7e]", "?");
  }
}
