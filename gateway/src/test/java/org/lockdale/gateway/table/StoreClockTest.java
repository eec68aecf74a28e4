package org.lockdale.gateway.table;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.Test;

/** A time of the store's clock is never converted to a later local time than it was. */
public final class StoreClockTest {

  @Test
  public void nothingIsProvenBeforeTheFirstResponse() {
    assertTrue(new StoreClock().localMillis(5_000) < -1_000_000_000L);
  }

  @Test
  public void theFastestResponseDeterminesTheOffset() {
    StoreClock clock = new StoreClock();
    clock.observe(10_000, 100);
    clock.observe(10_500, 990);
    clock.observe(11_000, 1_100);
    assertEquals(clock.localMillis(11_000), 1_490);
  }

  @Test
  public void noDelayOfResponsesMakesAProofAppearNewer() {
    for (long seed = 0; seed < 500; seed++) {
      Random random = new Random(seed);
      long difference = random.nextInt(1_000_000);
      StoreClock clock = new StoreClock();
      long now = 0;
      for (int call = 0; call < 200; call++) {
        long sentAt = now;
        long answeredAt = sentAt + random.nextInt(3_000);
        clock.observe(answeredAt + difference, sentAt);
        now += random.nextInt(10_000);
        long proof = random.nextInt(100_000);
        assertTrue(clock.localMillis(proof + difference) <= proof, "seed " + seed);
      }
    }
  }
}
