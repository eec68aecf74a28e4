package org.lockdale.gateway.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** A share is lent to one relay at a time. */
public final class ShareLenderTest {

  private static final long TERM = ShareLender.TERM_MILLIS;
  private static final long LATER = 100_000;

  private static ShareLender.Heartbeat heartbeat(String relay, long heardAt) {
    return new ShareLender.Heartbeat(relay, 1, heardAt + 7, heardAt);
  }

  private static boolean lends(ShareLender lender, String relay, long heardAt, long now) {
    return lender.lend(heartbeat(relay, heardAt), now);
  }

  @Test
  public void aNodeThatHasJustStartedLendsNothingThatItsEarlierLifeMayHaveLent() {
    ShareLender lender = new ShareLender(LATER);
    assertFalse(lends(lender, "a", LATER + TERM - 1, LATER + TERM - 1));
    assertTrue(lends(lender, "a", LATER + TERM, LATER + TERM));
  }

  @Test
  public void anotherRelayGetsNothingUntilTheLoanHasEnded() {
    ShareLender lender = new ShareLender(0);
    assertTrue(lends(lender, "a", LATER, LATER));
    assertFalse(lends(lender, "b", LATER + 1, LATER + 1));
    assertFalse(lends(lender, "b", LATER + TERM - 1, LATER + TERM - 1));
    assertTrue(lends(lender, "b", LATER + TERM - 1, LATER + TERM));
    assertFalse(lends(lender, "a", LATER + TERM, LATER + TERM));
  }

  @Test
  public void anOldHeartbeatIsNotAnswered() {
    assertFalse(lends(new ShareLender(0), "a", LATER, LATER + TERM));
  }

  @Test
  public void aShareThatWasGivenBackIsLentAtOnce() {
    ShareLender lender = new ShareLender(0);
    assertTrue(lends(lender, "a", LATER, LATER));
    assertTrue(lender.recall("a", LATER + 1).isEmpty());
    assertEquals(lender.recall("b", LATER + 1).orElseThrow(), heartbeat("a", LATER));
    lender.released("a", 1, LATER + 7, LATER + 2);
    assertTrue(lends(lender, "b", LATER + 2, LATER + 2));
  }

  @Test
  public void theConfirmationOfAnEarlierLoanFreesNothing() {
    ShareLender lender = new ShareLender(0);
    assertTrue(lends(lender, "a", LATER, LATER));
    assertTrue(lends(lender, "a", LATER + 500, LATER + 500));
    lender.released("a", 1, LATER + 7, LATER + 501);
    lender.released("a", 2, LATER + 507, LATER + 501);
    assertFalse(lends(lender, "b", LATER + 501, LATER + 501));
  }
}
