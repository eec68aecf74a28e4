package org.lockdale.gateway.quarantine;

/**
 * The claim of a process to send a quarantined request once as a trial. The store accepts one claim
 * for each number, so no two processes make the same trial.
 *
 * @param fingerprint the request
 * @param number number of the trial among those of the request, from 1
 * @param owner id that the process created for the trial
 */
public record TrialClaim(RequestFingerprint fingerprint, int number, String owner) {}
