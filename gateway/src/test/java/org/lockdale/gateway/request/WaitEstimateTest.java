package org.lockdale.gateway.request;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** Tests that waits are predicted from observed times, for engines of any speed. */
public final class WaitEstimateTest {

  private static final int PRIORITY = 1;
  private static final long TOKENS = 40_000;

  private final Random random = new Random(1);

  private void observe(WaitEstimate estimate, double tokensPerMilli, int responses) {
    for (int response = 0; response < responses; response++) {
      long tokens = 10_000 + random.nextInt(60_000);
      double noise = 0.8 + 0.4 * random.nextDouble();
      estimate.observe(PRIORITY, tokens, (long) (tokens / tokensPerMilli * noise));
    }
  }

  @Test
  public void nothingIsPredictedAtFirst() {
    WaitEstimate estimate = new WaitEstimate();
    assertEquals(estimate.predictMillis(PRIORITY, TOKENS), 0.0);
    observe(estimate, 50, 9);
    assertEquals(estimate.predictMillis(PRIORITY, TOKENS), 0.0);
  }

  @Test
  public void enginesOfAnySpeedAreKnownAfterThirtyResponses() {
    for (double tokensPerMilli : new double[] {5, 38, 51, 57, 400}) {
      WaitEstimate estimate = new WaitEstimate();
      observe(estimate, tokensPerMilli, 30);
      double expected = TOKENS / tokensPerMilli;
      assertEquals(estimate.predictMillis(PRIORITY, TOKENS), expected, expected * 0.2);
    }
  }

  @Test
  public void aFourfoldChangeIsFollowedWithinTwentyResponses() {
    WaitEstimate estimate = new WaitEstimate();
    observe(estimate, 60, 100);
    observe(estimate, 15, 20);
    double expected = TOKENS / 15.0;
    assertTrue(estimate.predictMillis(PRIORITY, TOKENS) > expected * 0.75);
  }

  @Test
  public void shortPromptsAreIgnoredAndPrioritiesAreSeparate() {
    WaitEstimate estimate = new WaitEstimate();
    for (int response = 0; response < 50; response++) {
      estimate.observe(PRIORITY, 500, 1_000);
      estimate.observe(PRIORITY, 0, 1_000);
      estimate.observe(-1, TOKENS, 1_000);
    }
    assertEquals(estimate.predictMillis(PRIORITY, TOKENS), 0.0);
    observe(estimate, 50, 30);
    assertEquals(estimate.predictMillis(0, TOKENS), 0.0);
    assertEquals(estimate.predictMillis(PRIORITY, 500), 0.0);
  }
}
