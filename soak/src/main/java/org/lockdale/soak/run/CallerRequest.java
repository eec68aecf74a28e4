package org.lockdale.soak.run;

import org.jspecify.annotations.Nullable;
import org.lockdale.soak.judge.RequestFacts;
import org.lockdale.soak.judge.RequestKind;

/**
 * A request that a caller is to send.
 *
 * @param lastEventId event after which a stream continues; 0 for its start
 * @param stayMillis time after which the caller abandons the request; 0 to wait for the response
 * @param resumes id of the request that brought the first event of a stream that is taken up, or
 *     null
 */
record CallerRequest(
    String id,
    RequestKind kind,
    RequestFacts facts,
    String key,
    int deadlineMillis,
    int lastEventId,
    int stayMillis,
    @Nullable String resumes) {

  /** Returns the request that takes up this one's stream after an event. */
  CallerRequest takenUp(String newId, int newLastEventId) {
    String original = resumes == null ? id : resumes;
    return new CallerRequest(newId, kind, facts, key, deadlineMillis, newLastEventId, 0, original);
  }
}
