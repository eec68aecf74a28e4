package org.lockdale.gateway.table;

import java.util.List;

/**
 * Changes of a table, or all of its rows, taken from one copy of it.
 *
 * @param complete whether these are all rows of the table, so that rows not listed were removed
 * @param lastChange version of the store up to which all changes are included
 * @param rows changed and removed rows
 */
public record TableChanges(boolean complete, long lastChange, List<TableRowChange> rows) {}
