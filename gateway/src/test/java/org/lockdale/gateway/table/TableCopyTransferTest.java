package org.lockdale.gateway.table;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/**
 * Guards against relays that saturate their links with copies of tables. With 300 nodes and 3,000
 * servers, a relay sent 13.6 MB/s for a whole day, 78 times as much as with 30 nodes; a
 * configuration took effect 6.7 s late, and most requests were rejected.
 *
 * <p>A relay that has just scanned a table doesn't know which rows were removed before the scan. It
 * would send all rows to each node whose copy is older by one change, although such a node lacks
 * hardly any. After a start of all nodes, and again after each change of relays, that is every
 * second node.
 */
public final class TableCopyTransferTest {

  private static final int NODES = 300;
  private static final int SERVERS = 3_000;
  private static final int ENTRY_BYTES = 250;

  /** Bytes that a link of 100 Mbit/s carries in a second. */
  private static final long MAX_BYTES = 12_500_000;

  private static TableRowChange row(int server, long version) {
    byte[] value = "x".repeat(ENTRY_BYTES).getBytes(StandardCharsets.UTF_8);
    return new TableRowChange("i-" + server, value, version, false);
  }

  private static Map<String, TableRowChange> table(long version) {
    Map<String, TableRowChange> rows = new HashMap<>();
    for (int server = 0; server < SERVERS; server++) {
      // The row of the last server holds the newest change.
      rows.put("i-" + server, row(server, server == SERVERS - 1 ? version : server));
    }
    return rows;
  }

  /**
   * Returns the bytes that a relay sends to a node; about none if the node has to use the store.
   */
  private static long bytesSent(TableCopy relay, long known) {
    if (relay.exceedsTransferLimitAfter(known)) {
      return 0;
    }
    return relay.changesAfter(known).rows().stream()
        .mapToLong(row -> row.key().length() + row.value().length)
        .sum();
  }

  @Test
  public void aRelayThatHasJustScannedTheTableDoesNotSendAllRowsToEachNode() {
    TableCopy relay = new TableCopy();
    relay.replace(table(10_000), 10_000);
    long bytes = 0;
    for (int node = 0; node < NODES; node++) {
      // Half of the nodes read the table one change before the relay did.
      long known = node % 2 == 0 ? 9_999 : 10_000;
      bytes += bytesSent(relay, known);
    }
    assertTrue(bytes <= MAX_BYTES, bytes + " bytes for " + NODES + " nodes");
  }

  @Test
  public void allRowsOfALargeTableAreSentOnlyOnRequest() {
    TableCopy large = new TableCopy();
    large.replace(table(10_000), 10_000);
    assertFalse(large.exceedsTransferLimitAfter(TableCopy.UNKNOWN));
    assertFalse(large.exceedsTransferLimitAfter(10_000));
    assertTrue(large.exceedsTransferLimitAfter(9_999));
    TableCopy small = new TableCopy();
    small.replace(Map.of("i-1", row(1, 10_000)), 10_000);
    assertFalse(small.exceedsTransferLimitAfter(9_999));
  }

  /** Each server that starts at the same time as the nodes is a change that all nodes lack. */
  @Test
  public void aRelayDoesNotSendThousandsOfChangesToEachNode() {
    TableCopy relay = new TableCopy();
    relay.replace(Map.of(), 0);
    relay.apply(List.copyOf(table(SERVERS).values()));
    long bytes = NODES * bytesSent(relay, 0);
    assertTrue(bytes <= MAX_BYTES, bytes + " bytes for " + NODES + " nodes");
  }
}
