package org.lockdale.gateway.limit;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests that a relay with the majority of the shares is selected, or else the most senior one. */
public final class LimitRelaySelectorTest {

  private static final List<String> BY_SENIORITY = List.of("a", "b", "c");

  private static List<String> order(Map<String, Double> shares) {
    return LimitRelaySelector.inOrder(BY_SENIORITY, relay -> shares.getOrDefault(relay, 0.0));
  }

  @Test
  public void theMostSeniorRelayIsSelectedWhereNoneHasTheMajority() {
    assertEquals(order(Map.of("b", 0.5, "c", 0.4)), BY_SENIORITY);
  }

  @Test
  public void aRelayWithTheMajorityOfSharesIsKept() {
    assertEquals(order(Map.of("b", 0.9)), List.of("b", "a", "c"));
  }
}
