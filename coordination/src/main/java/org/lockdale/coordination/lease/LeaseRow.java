package org.lockdale.coordination.lease;

/**
 * Contents of the row of a lease.
 *
 * @param holder id of the node that holds or held it
 * @param expiresAtMillis when it runs out, by the store's clock
 */
public record LeaseRow(String holder, long expiresAtMillis) {}
