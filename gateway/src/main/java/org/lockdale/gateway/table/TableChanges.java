package org.lockdale.gateway.table;

import java.util.List;

/**
 * Changes of a table, or all of it, as one copy of it knows them.
 *
 * @param whole whether rows that are not named are gone
 * @param lastChange version up to which all changes are in
 * @param rows rows and removals
 */
public record TableChanges(boolean whole, long lastChange, List<TableRowChange> rows) {}
