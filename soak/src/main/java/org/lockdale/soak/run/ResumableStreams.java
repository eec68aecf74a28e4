package org.lockdale.soak.run;

import org.lockdale.soak.judge.RequestFacts;
import org.lockdale.soak.judge.RequestKind;

/** Supplies requests for resumable streams that take up to 1.2 s. */
final class ResumableStreams implements RequestSource {

  private static final int DEADLINE_MILLIS = 6_000;
  private static final int PROMPT_TOKENS = 200;
  private static final int OUTPUT_TOKENS = 80;

  @Override
  public CallerRequest next(int request, String id) {
    RequestFacts facts =
        new RequestFacts(
            "POST",
            "/resumable/" + id,
            "body of " + id,
            Processes.MODEL,
            id + ":" + PROMPT_TOKENS,
            PROMPT_TOKENS + "," + OUTPUT_TOKENS);
    return new CallerRequest(
        id, RequestKind.RESUMABLE, facts, Operator.STEADY_KEY, DEADLINE_MILLIS, 0, 0, null);
  }
}
