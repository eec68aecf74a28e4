package org.lockdale.gateway.table;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Copy of one table. Invariant: the copy holds all changes up to {@link #lastChange}, and no row in
 * it is ever replaced by an older version, whatever the order in which the store and other copies
 * answer. A scan of the store may add rows that follow the last change. A state machine without
 * I/O; not safe for use by several threads.
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
   * Applies a reading of the complete table. Of a reading older than the copy, such as one from an
   * earlier era of the store, only rows that follow the changes in the copy are added.
   *
   * @param allRows all rows by key; rows that changed after {@code version} may be old or missing
   * @param version version of the store at the time of the reading
   */
  void replace(Map<String, TableRowChange> allRows, long version) {
    if (version < lastChange) {
      applyMissing(allRows.values());
      return;
    }
    rows.keySet().retainAll(allRows.keySet());
    removals.clear();
    lastChange = version;
    changesHeldSince = version;
    for (TableRowChange row : allRows.values()) {
      rows.merge(row.key(), row, TableCopy::newer);
    }
  }

  private static TableRowChange newer(TableRowChange before, TableRowChange row) {
    return before.version() > row.version() ? before : row;
  }

  /**
   * Applies an answer of the store: all changes from a version, which the copy has reached, up to
   * the newest of them. Changes that the copy has passed are ignored.
   */
  void apply(List<TableRowChange> changes) {
    applyMissing(changes);
    for (TableRowChange change : changes) {
      lastChange = Math.max(lastChange, change.version());
    }
  }

  /**
   * Applies those changes that the copy lacks. It has passed all up to {@link #lastChange}: a row
   * as old as that which it doesn't hold was replaced or removed since, also if the removal is no
   * longer kept.
   */
  private void applyMissing(Collection<TableRowChange> changes) {
    for (TableRowChange change : changes) {
      TableRowChange before = rows.get(change.key());
      boolean isNewest = before == null || before.version() < change.version();
      if (isNewest && change.version() > lastChange) {
        applyNewer(change);
      }
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
      // The other copy may hold rows that follow its last change, but not all changes before them.
      applyMissing(changes.rows());
      lastChange = changes.lastChange();
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
