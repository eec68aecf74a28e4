package org.lockdale.soak.run;

import org.lockdale.soak.judge.RequestFacts;
import org.lockdale.soak.judge.RequestKind;

/** Supplies short requests that use the key that was replaced last. */
final class ReplacedKeyRequests implements RequestSource {

  private static final int DEADLINE_MILLIS = 1_500;

  private final Operator operator;

  ReplacedKeyRequests(Operator operator) {
    this.operator = operator;
  }

  @Override
  public CallerRequest next(int request, String id) {
    RequestFacts facts = new RequestFacts("POST", "/safe/" + id, "body of " + id, null, null, null);
    return new CallerRequest(
        id, RequestKind.SAFE, facts, operator.replacedKey(), DEADLINE_MILLIS, 0, 0, null);
  }
}
