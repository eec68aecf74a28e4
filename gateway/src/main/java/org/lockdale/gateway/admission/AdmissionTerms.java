package org.lockdale.gateway.admission;

import org.jspecify.annotations.Nullable;

/**
 * What the order and the refusal of a waiting request depend on. Times count from the arrival of
 * the request at its first node, so that a request keeps its place in the order when it is asked
 * for again elsewhere.
 *
 * @param waitedMillis time since its arrival when it was asked for, in milliseconds
 * @param objectiveMillis latency objective, in milliseconds
 * @param patienceMillis time after which the caller no longer waits for the first event, in
 *     milliseconds
 * @param gapObjectiveMillis longest time between two events of its stream that still meets the
 *     objective, in milliseconds
 * @param priority configured priority, 0 is the most urgent
 * @param tenant name of the tenant, or null for an anonymous caller
 * @param promptTokens tokens of the whole prompt
 * @param outputTokens expected tokens of the response
 * @param possiblyRun whether a backend may have run the request already, so that it must not be
 *     refused as not run
 */
public record AdmissionTerms(
    long waitedMillis,
    long objectiveMillis,
    long patienceMillis,
    long gapObjectiveMillis,
    int priority,
    @Nullable String tenant,
    long promptTokens,
    long outputTokens,
    boolean possiblyRun) {

  /** Returns the terms of the same request at a later time, which keep its place in the order. */
  public AdmissionTerms afterMillis(long millis) {
    return new AdmissionTerms(
        waitedMillis + millis,
        objectiveMillis,
        patienceMillis,
        gapObjectiveMillis,
        priority,
        tenant,
        promptTokens,
        outputTokens,
        possiblyRun);
  }

  /** Returns the tokens of an engine's memory that the request occupies while it runs. */
  public long memoryTokens() {
    return promptTokens + outputTokens;
  }
}
