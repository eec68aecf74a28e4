package org.lockdale.gateway.table;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/**
 * At 300 nodes and 3,000 servers a relay sent 13.6 MB a second over a whole day, 78 times as much
 * as at 30 nodes; a configuration was in force 6.7 s late, and most requests were refused.
 *
 * <p>A relay that has read the table a moment ago doesn't know what was removed before, so each
 * node whose own reading is older by one change gets all rows, though it lacks hardly any. After a
 * start of all nodes that is every second one, and again after each change of relays.
 */
public final class TableCopyHerdTest {

  private static final int NODES = 300;
  private static final int SERVERS = 3_000;
  private static final int ENTRY_BYTES = 250;

  /** What a link of 100 Mbit a second carries in a second. */
  private static final long MOST_BYTES = 12_500_000;

  private static TableRowChange row(int server, long version) {
    byte[] value = "x".repeat(ENTRY_BYTES).getBytes(StandardCharsets.UTF_8);
    return new TableRowChange("i-" + server, value, version, false);
  }

  private static Map<String, TableRowChange> table(long version) {
    Map<String, TableRowChange> rows = new HashMap<>();
    for (int server = 0; server < SERVERS; server++) {
      // The newest change is that of the last server; all others are older.
      rows.put("i-" + server, row(server, server == SERVERS - 1 ? version : server));
    }
    return rows;
  }

  /** Bytes that a relay tells a node; where it is told to ask the store, hardly any. */
  private static long bytesTold(TableCopy relay, long known) {
    if (relay.hasTooMuchToTellAfter(known)) {
      return 0;
    }
    return relay.changesAfter(known).rows().stream()
        .mapToLong(row -> row.key().length() + row.value().length)
        .sum();
  }

  @Test
  public void aRelayThatHasJustReadTheTableSendsWhatANodeLacks() {
    TableCopy relay = new TableCopy();
    relay.replace(table(10_000), 10_000);
    long bytes = 0;
    for (int node = 0; node < NODES; node++) {
      // Half of the nodes have read the table a moment before the relay did, by one change.
      long known = node % 2 == 0 ? 9_999 : 10_000;
      bytes += bytesTold(relay, known);
    }
    assertTrue(bytes <= MOST_BYTES, bytes + " bytes for " + NODES + " nodes");
  }

  @Test
  public void aSmallTableIsToldWholeAndALargeOneToWhoAsksForAll() {
    TableCopy large = new TableCopy();
    large.replace(table(10_000), 10_000);
    assertFalse(large.hasTooMuchToTellAfter(TableCopy.UNKNOWN));
    assertFalse(large.hasTooMuchToTellAfter(10_000));
    assertTrue(large.hasTooMuchToTellAfter(9_999));
    TableCopy small = new TableCopy();
    small.replace(Map.of("i-1", row(1, 10_000)), 10_000);
    assertFalse(small.hasTooMuchToTellAfter(9_999));
  }

  /**
   * Servers that start at the same time as the nodes do are changes, and all nodes lack them all.
   */
  @Test
  public void aRelayDoesNotTellThousandsOfChangesToEachNode() {
    TableCopy relay = new TableCopy();
    relay.replace(Map.of(), 0);
    relay.apply(List.copyOf(table(SERVERS).values()));
    long bytes = NODES * bytesTold(relay, 0);
    assertTrue(bytes <= MOST_BYTES, bytes + " bytes for " + NODES + " nodes");
  }
}
