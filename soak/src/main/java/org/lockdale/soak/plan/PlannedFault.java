package org.lockdale.soak.plan;

/**
 * A fault and when it comes.
 *
 * @param atMillis time since the run's start, in milliseconds
 */
public record PlannedFault(long atMillis, Fault fault) {}
