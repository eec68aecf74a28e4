package org.lockdale.gateway.table;

import java.util.List;

/**
 * A page of the rows of a table, or of its changes.
 *
 * @param rows rows in order of their keys, or changes in order of their versions
 * @param more whether further rows follow this page
 * @param version newest version of the store when it wrote the page
 * @param storeMillis the store's steady clock, in milliseconds
 */
public record TablePage(List<TableRowChange> rows, boolean more, long version, long storeMillis) {}
