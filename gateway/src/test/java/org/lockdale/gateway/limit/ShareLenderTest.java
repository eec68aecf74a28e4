package org.lockdale.gateway.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that a share is lent to one relay at a time. */
public final class ShareLenderTest {

  private static final long TERM = ShareLender.TERM_MILLIS;
  private static final long START = 100_000;

  private static ShareLender.Heartbeat heartbeat(String relay, long receivedAt) {
    return new ShareLender.Heartbeat(relay, 1, receivedAt + 7, receivedAt);
  }

  private static boolean lends(ShareLender lender, String relay, long receivedAt, long now) {
    return lender.lend(heartbeat(relay, receivedAt), now);
  }

  @Test
  public void aNodeThatHasJustStartedLendsNothingThatItsFormerIncarnationMayHaveLent() {
    ShareLender lender = new ShareLender(START);
    assertFalse(lends(lender, "a", START + TERM - 1, START + TERM - 1));
    assertTrue(lends(lender, "a", START + TERM, START + TERM));
  }

  @Test
  public void anotherRelayGetsNothingUntilTheLoanHasEnded() {
    ShareLender lender = new ShareLender(0);
    assertTrue(lends(lender, "a", START, START));
    assertFalse(lends(lender, "b", START + 1, START + 1));
    assertFalse(lends(lender, "b", START + TERM - 1, START + TERM - 1));
    assertTrue(lends(lender, "b", START + TERM - 1, START + TERM));
    assertFalse(lends(lender, "a", START + TERM, START + TERM));
  }

  @Test
  public void anOldHeartbeatIsNotAnswered() {
    assertFalse(lends(new ShareLender(0), "a", START, START + TERM));
  }

  @Test
  public void aReleasedShareIsLentAtOnce() {
    ShareLender lender = new ShareLender(0);
    assertTrue(lends(lender, "a", START, START));
    assertTrue(lender.recall("a", START + 1).isEmpty());
    assertEquals(lender.recall("b", START + 1).orElseThrow(), heartbeat("a", START));
    lender.released("a", 1, START + 7, START + 2);
    assertTrue(lends(lender, "b", START + 2, START + 2));
  }

  @Test
  public void theConfirmationOfAnEarlierLoanReleasesNothing() {
    ShareLender lender = new ShareLender(0);
    assertTrue(lends(lender, "a", START, START));
    assertTrue(lends(lender, "a", START + 500, START + 500));
    lender.released("a", 1, START + 7, START + 501);
    lender.released("a", 2, START + 507, START + 501);
    assertFalse(lends(lender, "b", START + 501, START + 501));
  }
}
