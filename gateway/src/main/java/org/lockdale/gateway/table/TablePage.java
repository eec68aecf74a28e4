package org.lockdale.gateway.table;

import java.util.List;

/**
 * Part of a table, or a batch of its changes.
 *
 * @param rows rows in order of their keys, or changes in order of their versions
 * @param more whether rows follow that did not fit
 * @param version newest version of the store at that moment
 * @param storeMillis the store's steady clock, in milliseconds
 */
public record TablePage(List<TableRowChange> rows, boolean more, long version, long storeMillis) {}
