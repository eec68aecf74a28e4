package org.lockdale.gateway.table;

/**
 * A row of a shared table as it stands after a change.
 *
 * @param key key of the row
 * @param value contents; empty where it was removed
 * @param version version of the row, which rises with every transaction of the store
 * @param removed whether the row is gone
 */
public record TableRowChange(String key, byte[] value, long version, boolean removed) {}
