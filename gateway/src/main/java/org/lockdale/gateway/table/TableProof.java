package org.lockdale.gateway.table;

/**
 * Proof that a copy of a table was current.
 *
 * @param table name of the table
 * @param lastChange version up to which all changes were in
 * @param storeMillis time by the store's steady clock at which there were no others
 */
public record TableProof(String table, long lastChange, long storeMillis) {}
