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
 * Copy of one table, without I/O. Invariant: the copy holds all changes up to {@link #lastChange},
 * and no row in it is ever replaced by an older reading. Not safe for use by several threads.
 */
final class TableCopy {

  /** Removals beyond this number are forgotten; who needs older ones reads the table whole. */
  private static final int MAX_REMOVALS = 2_048;

  /**
   * Rows up to which a whole copy is told: some 70 KB in the fleets on record, of 66 to 107 back
   * ends, which a link of 7 Mbit a second carries in 0.08 s.
   */
  private static final int MOST_TOLD_ROWS = 256;

  /** Version of a copy that was never read. */
  static final long UNKNOWN = -1;

  private final Map<String, TableRowChange> rows = new HashMap<>();
  private final Map<String, TableRowChange> removals = new LinkedHashMap<>();
  private long lastChange = UNKNOWN;
  private long historyFrom = UNKNOWN;

  /** Returns all rows by key; the view changes with the copy. */
  Map<String, TableRowChange> rows() {
    return Collections.unmodifiableMap(rows);
  }

  /** Returns the version up to which all changes are in, or {@link #UNKNOWN}. */
  long lastChange() {
    return lastChange;
  }

  /**
   * Takes in a reading of the whole table. One that is older than the copy adds what it has, but
   * removes nothing, since what it lacks may have come later. One of a former history of the store
   * changes nothing: what only that one has was lost with it.
   *
   * @param whole all rows by key
   * @param version version of the store at the reading
   */
  void replace(Map<String, TableRowChange> whole, long version) {
    if (isOfFormerHistory(version)) {
      return;
    }
    if (version >= lastChange) {
      rows.keySet().retainAll(whole.keySet());
      removals.clear();
      lastChange = version;
      historyFrom = version;
    }
    for (TableRowChange row : whole.values()) {
      TableRowChange removal = removals.get(row.key());
      if (removal == null || removal.version() < row.version()) {
        rows.merge(row.key(), row, TableCopy::newer);
      }
    }
  }

  private boolean isOfFormerHistory(long version) {
    return lastChange != UNKNOWN
        && StoreVersion.ofPacked(version).era() < StoreVersion.ofPacked(lastChange).era();
  }

  private static TableRowChange newer(TableRowChange before, TableRowChange row) {
    return before.version() > row.version() ? before : row;
  }

  /** Takes in changes that follow what is known; those of a former history change nothing. */
  void apply(List<TableRowChange> changes) {
    for (TableRowChange change : changes) {
      if (isOfFormerHistory(change.version())) {
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
      historyFrom = Math.max(historyFrom, oldest.next().version());
      oldest.remove();
    }
  }

  /** Takes in what another copy of the table told; what is older than this copy is ignored. */
  void accept(TableChanges changes) {
    if (changes.lastChange() < lastChange) {
      return;
    }
    if (changes.whole()) {
      Map<String, TableRowChange> whole = new HashMap<>();
      changes.rows().forEach(row -> whole.put(row.key(), row));
      replace(whole, changes.lastChange());
    } else {
      apply(changes.rows());
      lastChange = Math.max(lastChange, changes.lastChange());
    }
  }

  /**
   * Returns whether so much changed after a version that to tell it to each node would fill a link.
   * Where this copy no longer knows what changed, that is all rows: 115 MB for 300 nodes,
   * calculated, of which half lack one row of 3,000 after a start of all. Where 3,000 servers start
   * with the nodes it is their entries, 230 MB for 300 nodes, calculated.
   */
  boolean hasTooMuchToTellAfter(long version) {
    if (version == UNKNOWN) {
      return false;
    }
    long told = version < historyFrom ? rows.size() : changesSince(version);
    return told > MOST_TOLD_ROWS;
  }

  private long changesSince(long version) {
    return rows.values().stream().filter(row -> row.version() > version).count()
        + removals.values().stream().filter(row -> row.version() > version).count();
  }

  /**
   * Takes in that all changes up to a version are in, as the store told; what it told was applied
   * before.
   */
  void advanceTo(long version) {
    lastChange = Math.max(lastChange, version);
  }

  /** Returns what changed after a version, or everything where the copy no longer knows that. */
  TableChanges changesAfter(long version) {
    boolean whole = version < historyFrom;
    List<TableRowChange> changes = new ArrayList<>();
    for (TableRowChange row : rows.values()) {
      if (whole || row.version() > version) {
        changes.add(row);
      }
    }
    if (!whole) {
      removals.values().stream().filter(row -> row.version() > version).forEach(changes::add);
    }
    return new TableChanges(whole, lastChange, List.copyOf(changes));
  }
}
