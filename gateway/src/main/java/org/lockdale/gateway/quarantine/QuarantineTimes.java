package org.lockdale.gateway.quarantine;

/**
 * The times of a quarantine, in milliseconds after the last crash.
 *
 * @param holdMillis time for which a request or a prompt part is quarantined
 * @param trialDelayMillis time to the first trial of a request
 */
public record QuarantineTimes(long holdMillis, long trialDelayMillis) {}
