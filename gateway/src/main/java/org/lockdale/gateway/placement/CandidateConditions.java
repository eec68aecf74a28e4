package org.lockdale.gateway.placement;

import java.util.function.Predicate;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Conditions of candidates that matter to a placement. A candidate that is at its rate limit,
 * backing off or full keeps the prefixes that it is home to, so that a temporary condition moves
 * none.
 *
 * @param outdated accepts candidates that may serve but hold outdated weights
 * @param atRateLimit accepts candidates that have reached their rate limit
 * @param backingOff accepts candidates that requested a backoff from the sending node
 * @param full accepts candidates without room for the request
 */
public record CandidateConditions(
    Predicate<TrackedBackend> outdated,
    Predicate<TrackedBackend> atRateLimit,
    Predicate<TrackedBackend> backingOff,
    Predicate<TrackedBackend> full) {

  /** All candidates hold current weights and accept requests. */
  public static final CandidateConditions NONE =
      new CandidateConditions(
          candidate -> false, candidate -> false, candidate -> false, candidate -> false);

  /** Returns these conditions with others for outdated weights. */
  public CandidateConditions withOutdated(Predicate<TrackedBackend> newOutdated) {
    return new CandidateConditions(newOutdated, atRateLimit, backingOff, full);
  }

  /** Returns these conditions with others for a requested backoff. */
  public CandidateConditions withBackingOff(Predicate<TrackedBackend> newBackingOff) {
    return new CandidateConditions(outdated, atRateLimit, newBackingOff, full);
  }

  /** Returns these conditions with others for missing room. */
  public CandidateConditions withFull(Predicate<TrackedBackend> newFull) {
    return new CandidateConditions(outdated, atRateLimit, backingOff, newFull);
  }

  /** Returns whether a candidate must not be sent the request now. */
  boolean isUnavailable(TrackedBackend candidate) {
    return atRateLimit.test(candidate) || full.test(candidate) || backingOff.test(candidate);
  }
}
