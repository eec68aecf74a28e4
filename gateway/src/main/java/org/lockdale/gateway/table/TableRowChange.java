package org.lockdale.gateway.table;

/**
 * A row of a shared table after a change.
 *
 * @param key key of the row
 * @param value contents; empty if the row was removed
 * @param version version of the row, which increases with every transaction of the store
 * @param removed whether the row was removed
 */
public record TableRowChange(String key, byte[] value, long version, boolean removed) {}
