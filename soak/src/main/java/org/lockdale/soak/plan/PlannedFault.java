package org.lockdale.soak.plan;

/**
 * A fault and its time.
 *
 * @param atMillis time since the start of the run, in milliseconds
 */
public record PlannedFault(long atMillis, Fault fault) {}
