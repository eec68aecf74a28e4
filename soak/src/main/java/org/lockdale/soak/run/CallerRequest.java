package org.lockdale.soak.run;

import org.jspecify.annotations.Nullable;
import org.lockdale.soak.judge.RequestFacts;
import org.lockdale.soak.judge.RequestIds;
import org.lockdale.soak.judge.RequestKind;

/**
 * A request that a caller is to send.
 *
 * @param lastEventId event after which a stream continues; 0 for its start
 * @param stayMillis time after which the caller abandons the request; 0 to wait for the response
 * @param resumes id of the request that brought the first event of a stream that is taken up, or
 *     null
 * @param send number of the send under this id, starting at 1
 * @param maxSends maximum number of sends under this id
 */
record CallerRequest(
    String id,
    RequestKind kind,
    RequestFacts facts,
    String key,
    int deadlineMillis,
    int lastEventId,
    int stayMillis,
    @Nullable String resumes,
    int send,
    int maxSends) {

  private static final int MAX_SENDS = 3;

  /** Creates a request that is sent once. */
  CallerRequest(
      String id,
      RequestKind kind,
      RequestFacts facts,
      String key,
      int deadlineMillis,
      int lastEventId,
      int stayMillis,
      @Nullable String resumes) {
    this(id, kind, facts, key, deadlineMillis, lastEventId, stayMillis, resumes, 1, 1);
  }

  /** Returns the id of this send in notes. */
  String noteId() {
    return RequestIds.noteId(id, send);
  }

  /** Returns the same request, repeated under its id if it fails. */
  CallerRequest withRepeats() {
    return withSend(1, MAX_SENDS);
  }

  /** Returns whether the request is repeated under its id if it fails. */
  boolean hasRepeats() {
    return send < maxSends;
  }

  /** Returns the next send under the same id. */
  CallerRequest repeated() {
    return withSend(send + 1, maxSends);
  }

  private CallerRequest withSend(int newSend, int newMaxSends) {
    return new CallerRequest(
        id,
        kind,
        facts,
        key,
        deadlineMillis,
        lastEventId,
        stayMillis,
        resumes,
        newSend,
        newMaxSends);
  }

  /** Returns the request that takes up this one's stream after an event. */
  CallerRequest takenUp(String newId, int newLastEventId) {
    String original = resumes == null ? noteId() : resumes;
    return new CallerRequest(newId, kind, facts, key, deadlineMillis, newLastEventId, 0, original);
  }
}
