package org.lockdale.gateway.table;

/**
 * Proof that a copy of a table was current at some time.
 *
 * @param table name of the table
 * @param lastChange version up to which the copy held all changes
 * @param storeMillis time by the store's steady clock at which there were no later changes
 */
public record TableProof(String table, long lastChange, long storeMillis) {}
