package org.lockdale.gateway.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Checks when a node reads a table itself in place of the relays. */
public final class DirectReadPolicyTest {

  @Test
  public void theStoreIsReadOnceTheLatestProofIsTooOld() {
    DirectReadPolicy policy = new DirectReadPolicy(1_500);
    policy.onProof(1_000);
    assertEquals(policy.dueAtMillis(), 2_500);
    assertFalse(policy.isDue(2_499));
    assertTrue(policy.isDue(2_500));
  }

  @Test
  public void aRelayThatProvesTheCopyAgainEndsDirectReads() {
    DirectReadPolicy policy = new DirectReadPolicy(1_500);
    policy.onProof(1_000);
    policy.onProof(2_400);
    assertFalse(policy.isDue(3_000));
  }

  @Test
  public void anOlderProofOfAnotherRelayChangesNothing() {
    DirectReadPolicy policy = new DirectReadPolicy(1_500);
    policy.onProof(2_400);
    policy.onProof(1_000);
    assertFalse(policy.isDue(3_000));
  }

  @Test
  public void requestedReadsEndWithTheirTime() {
    DirectReadPolicy policy = new DirectReadPolicy(1_500);
    policy.onProof(1_000);
    policy.requestUntil(1_600);
    assertTrue(policy.isDue(1_599));
    assertFalse(policy.isDue(1_600));
  }
}
