package org.lockdale.coordination.table;

/**
 * A row as read or written.
 *
 * @param value contents
 * @param version rises with every write of the row
 */
public record TableRow(byte[] value, long version) {}
