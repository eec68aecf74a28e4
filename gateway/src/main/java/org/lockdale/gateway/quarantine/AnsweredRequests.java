package org.lockdale.gateway.quarantine;

import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.caller.CallerRequest;

/**
 * Remembers which requests got a successful response a while ago, such as polls that callers
 * repeat. A request that crashes the backends that run it never gets one, so if several backends
 * crash under a request that does, they crash for another reason.
 *
 * <p>It is a cache of limited size, in which a request may displace another one. Contents are
 * hashed only if they are short and a request with the same sketch was answered before, so that
 * requests that nobody repeats cost no hash. Safe for use by several threads.
 */
final class AnsweredRequests {

  /** Number of requests that may be remembered; a power of two. */
  private static final int SLOTS = 4_096;

  /** Longest body in bytes that is hashed, as hashing takes time on the request path. */
  private static final int MAX_BODY_BYTES = 16_384;

  /** Time in milliseconds for which a request is remembered after its last response. */
  private static final long REMEMBERED_MILLIS = 600_000;

  /**
   * Time in milliseconds within which all nodes report the crashes of one moment. Crashes after it
   * count until there is another response, as the request may crash backends by now.
   */
  private static final long EXPLAINED_MILLIS = 3_000;

  /** A request with the latest response that is remembered. */
  private static final class Answer {
    private final RequestFingerprint fingerprint;
    private final long answeredAtMillis;

    /** Monotonic time at which crashes were first explained; {@link Long#MAX_VALUE} if never. */
    private volatile long explainsSinceMillis = Long.MAX_VALUE;

    Answer(RequestFingerprint fingerprint, long answeredAtMillis) {
      this.fingerprint = fingerprint;
      this.answeredAtMillis = answeredAtMillis;
    }
  }

  private final AtomicIntegerArray sketches = new AtomicIntegerArray(SLOTS);
  private final AtomicReferenceArray<@Nullable Answer> answers = new AtomicReferenceArray<>(SLOTS);
  private final Time time;

  AnsweredRequests(Time time) {
    this.time = time;
  }

  /**
   * Records a successful response; from any thread.
   *
   * @param request the request
   * @param caller name of the tenant, or the key where there is none
   */
  void record(CallerRequest request, String caller) {
    int sketch = RequestFingerprint.sketchOf(request, caller);
    boolean repeated = sketches.getAndSet(slotOf(sketch), sketch) == sketch;
    if (repeated && request.body().length <= MAX_BODY_BYTES) {
      RequestFingerprint fingerprint = RequestFingerprint.of(request, caller);
      answers.set(slotOf(fingerprint.hashCode()), new Answer(fingerprint, time.monotonicMillis()));
    }
  }

  private static int slotOf(int hash) {
    return (hash ^ hash >>> 16) & SLOTS - 1;
  }

  /** Returns whether a request is known to have got a successful response a while ago. */
  boolean isKnown(RequestFingerprint fingerprint) {
    return find(fingerprint) != null;
  }

  /**
   * Returns the requests that did not cause the crashes that were reported just now. Each response
   * to a request explains the crashes of one moment, those that are reported first.
   *
   * @param quarantined requests to which enough crashes are attributed
   */
  List<RequestFingerprint> explained(List<QuarantinedRequest> quarantined) {
    return quarantined.stream()
        .map(QuarantinedRequest::fingerprint)
        .filter(this::explainsCrashes)
        .toList();
  }

  private boolean explainsCrashes(RequestFingerprint fingerprint) {
    Answer answer = find(fingerprint);
    if (answer == null) {
      return false;
    }
    long now = time.monotonicMillis();
    answer.explainsSinceMillis = Math.min(answer.explainsSinceMillis, now);
    return now - answer.explainsSinceMillis < EXPLAINED_MILLIS;
  }

  private @Nullable Answer find(RequestFingerprint fingerprint) {
    Answer answer = answers.get(slotOf(fingerprint.hashCode()));
    boolean found =
        answer != null
            && answer.fingerprint.equals(fingerprint)
            && time.monotonicMillis() - answer.answeredAtMillis < REMEMBERED_MILLIS;
    return found ? answer : null;
  }
}
