package org.lockdale.coordination.table;

/**
 * A row as read or written.
 *
 * @param value contents
 * @param version version of the row, which increases with every write
 */
public record TableRow(byte[] value, long version) {}
