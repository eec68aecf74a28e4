package org.lockdale.coordination.lease;

/**
 * Contents of the row of a lease.
 *
 * @param holder id of the node that holds or held the lease
 * @param expiresAtMillis expiry time by the store's clock, in milliseconds
 */
public record LeaseRow(String holder, long expiresAtMillis) {}
