package org.lockdale.gateway.table;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.table.StoreVersion;

/**
 * Copy of one table. Invariant: the copy holds all changes up to {@link #lastChange}, and no row in
 * it is ever replaced by an older version. A state machine without I/O; not safe for use by several
 * threads.
 */
final class TableCopy {

  /** Maximum number of removals kept. A node that lacks older ones needs all rows of the table. */
  private static final int MAX_REMOVALS = 2_048;

  /**
   * Maximum number of rows sent to a node that could read them from the store instead. Deployments
   * with 66 to 107 backends stay below it: all their rows are about 70 KB, which a link of 7 Mbit/s
   * carries in 0.08 s.
   */
  private static final int MAX_ROWS_TO_SEND = 256;

  /** Version of a copy before its first reading. */
  static final long UNKNOWN = -1;

  private final Map<String, TableRowChange> rows = new HashMap<>();
  private final Map<String, TableRowChange> removals = new LinkedHashMap<>();
  private long lastChange = UNKNOWN;
  private long changesHeldSince = UNKNOWN;

  /** Returns an unmodifiable live view of all rows by key. */
  Map<String, TableRowChange> rows() {
    return Collections.unmodifiableMap(rows);
  }

  /** Returns the version up to which the copy holds all changes, or {@link #UNKNOWN}. */
  long lastChange() {
    return lastChange;
  }

  /**
   * Applies a reading of the complete table. A reading older than the copy adds and updates rows,
   * but removes none, since rows that it lacks may have been added later. A reading from an earlier
   * era of the store, the generation of its history before a restore, is ignored: the restore
   * discarded rows that only that reading contains.
   *
   * @param allRows all rows by key
   * @param version version of the store at the time of the reading
   */
  void replace(Map<String, TableRowChange> allRows, long version) {
    if (isFromEarlierEra(version)) {
      return;
    }
    if (version >= lastChange) {
      rows.keySet().retainAll(allRows.keySet());
      removals.clear();
      lastChange = version;
      changesHeldSince = version;
    }
    for (TableRowChange row : allRows.values()) {
      TableRowChange removal = removals.get(row.key());
      if (removal == null || removal.version() < row.version()) {
        rows.merge(row.key(), row, TableCopy::newer);
      }
    }
  }

  private boolean isFromEarlierEra(long version) {
    return lastChange != UNKNOWN
        && StoreVersion.ofPacked(version).era() < StoreVersion.ofPacked(lastChange).era();
  }

  private static TableRowChange newer(TableRowChange before, TableRowChange row) {
    return before.version() > row.version() ? before : row;
  }

  /** Applies changes that follow those in the copy. Changes from an earlier era are ignored. */
  void apply(List<TableRowChange> changes) {
    for (TableRowChange change : changes) {
      if (isFromEarlierEra(change.version())) {
        continue;
      }
      TableRowChange before = rows.get(change.key());
      if (before == null || before.version() <= change.version()) {
        applyNewer(change);
      }
      lastChange = Math.max(lastChange, change.version());
    }
  }

  private void applyNewer(TableRowChange change) {
    removals.remove(change.key());
    if (!change.removed()) {
      rows.put(change.key(), change);
      return;
    }
    rows.remove(change.key());
    removals.put(change.key(), change);
    if (removals.size() > MAX_REMOVALS) {
      Iterator<TableRowChange> oldest = removals.values().iterator();
      changesHeldSince = Math.max(changesHeldSince, oldest.next().version());
      oldest.remove();
    }
  }

  /** Applies changes from another copy of the table. They are ignored if older than this copy. */
  void accept(TableChanges changes) {
    if (changes.lastChange() < lastChange) {
      return;
    }
    if (changes.complete()) {
      Map<String, TableRowChange> allRows = new HashMap<>();
      changes.rows().forEach(row -> allRows.put(row.key(), row));
      replace(allRows, changes.lastChange());
    } else {
      apply(changes.rows());
      lastChange = Math.max(lastChange, changes.lastChange());
    }
  }

  /**
   * Returns whether the changes after a version are too large to send to each node, since they
   * would saturate a link. Where this copy no longer holds the changes, all rows would be sent. By
   * calculation, that is 115 MB for 300 nodes if half of them lack one row of 3,000 after a restart
   * of all nodes. If 3,000 servers start together with 300 nodes, the changes alone are 230 MB.
   * Returns false for {@link #UNKNOWN}, with which nodes request all rows if they have no copy or
   * the store does not respond.
   */
  boolean exceedsTransferLimitAfter(long version) {
    if (version == UNKNOWN) {
      return false;
    }
    long rowsToSend = version < changesHeldSince ? rows.size() : changesSince(version);
    return rowsToSend > MAX_ROWS_TO_SEND;
  }

  private long changesSince(long version) {
    return rows.values().stream().filter(row -> row.version() > version).count()
        + removals.values().stream().filter(row -> row.version() > version).count();
  }

  /**
   * Records that the copy holds all changes up to a version. The changes that the store returned
   * for it must have been applied before.
   */
  void advanceTo(long version) {
    lastChange = Math.max(lastChange, version);
  }

  /** Returns the changes after a version, or all rows if the copy no longer holds these changes. */
  TableChanges changesAfter(long version) {
    boolean complete = version < changesHeldSince;
    List<TableRowChange> changes = new ArrayList<>();
    for (TableRowChange row : rows.values()) {
      if (complete || row.version() > version) {
        changes.add(row);
      }
    }
    if (!complete) {
      removals.values().stream().filter(row -> row.version() > version).forEach(changes::add);
    }
    return new TableChanges(complete, lastChange, List.copyOf(changes));
  }
}
