package org.lockdale.soak.run;

import org.lockdale.soak.judge.RequestFacts;
import org.lockdale.soak.judge.RequestKind;

/** Supplies a request that is the same each time but for its id, and crashes no server. */
final class RepeatedRequests implements RequestSource {

  private static final int DEADLINE_MILLIS = 3_000;
  private static final int PROMPT_TOKENS = 200;
  private static final int OUTPUT_TOKENS = 20;

  @Override
  public CallerRequest next(int request, String id) {
    RequestFacts facts =
        new RequestFacts(
            "POST",
            RequestFacts.REPEATED_PATH,
            "the same each time",
            Processes.MODEL,
            "5a5a:" + PROMPT_TOKENS,
            PROMPT_TOKENS + "," + OUTPUT_TOKENS);
    return new CallerRequest(
        id, RequestKind.STREAM, facts, Operator.STEADY_KEY, DEADLINE_MILLIS, 0, 0, null);
  }
}
