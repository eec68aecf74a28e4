package org.lockdale.soak.run;

import java.util.Locale;
import java.util.SplittableRandom;
import org.lockdale.soak.judge.RequestFacts;
import org.lockdale.soak.judge.RequestKind;

/** Draws repeatable requests that their caller repeats under the same id if they fail. */
final class SameIdRequests implements RequestSource {

  private static final int DEADLINE_MILLIS = 4_000;
  private static final int PROMPT_TOKENS = 200;
  private static final int OUTPUT_TOKENS = 80;

  /** One request in this many is a resumable stream, the others have a single response. */
  private static final int STREAM_ONE_IN = 3;

  private final SplittableRandom random;

  SameIdRequests(SplittableRandom random) {
    this.random = random;
  }

  @Override
  public CallerRequest next(int request, String id) {
    boolean stream = random.nextInt(STREAM_ONE_IN) == 0;
    CallerRequest first =
        new CallerRequest(
            id,
            stream ? RequestKind.RESUMABLE : RequestKind.SAFE,
            stream ? streamFacts(id) : singleFacts(id),
            Operator.STEADY_KEY,
            DEADLINE_MILLIS,
            0,
            0,
            null);
    return first.withRepeats();
  }

  private RequestFacts singleFacts(String id) {
    return random.nextBoolean()
        ? new RequestFacts("GET", "/safe/" + id, "", null, null, null)
        : new RequestFacts("POST", "/safe/" + id, "body of " + id, null, null, null);
  }

  private static RequestFacts streamFacts(String id) {
    return new RequestFacts(
        "POST",
        "/resumable/" + id,
        "body of " + id,
        Processes.MODEL,
        id + ":" + PROMPT_TOKENS,
        String.format(Locale.ROOT, "%d,%d", PROMPT_TOKENS, OUTPUT_TOKENS));
  }
}
