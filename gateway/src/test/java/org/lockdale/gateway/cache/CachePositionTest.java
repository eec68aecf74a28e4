package org.lockdale.gateway.cache;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests which pages of changes were read before. */
public final class CachePositionTest {

  private static final long EPOCH = 7;
  private static final CachePosition POSITION = new CachePosition(EPOCH, 20);
  private static final List<CacheEvent> CHANGES = List.of(new CacheEvent(true, "salt", "part", 10));

  private static CacheEventPage page(long epoch, long next, List<CacheEvent> changes) {
    return new CacheEventPage(epoch, next, false, changes);
  }

  @Test
  public void aPageThatEndsEarlierOrAddsChangesUpToThePositionWasReadBefore() {
    assertTrue(POSITION.covers(page(EPOCH, 19, List.of())));
    assertTrue(POSITION.covers(page(EPOCH, 19, CHANGES)));
    assertTrue(POSITION.covers(page(EPOCH, 20, CHANGES)));
  }

  @Test
  public void aPageWithNothingNewOrWithLaterChangesMayFollow() {
    assertFalse(POSITION.covers(page(EPOCH, 20, List.of())));
    assertFalse(POSITION.covers(page(EPOCH, 21, CHANGES)));
  }

  @Test
  public void anyPageMayFollowARestartOrTheStart() {
    assertFalse(POSITION.covers(page(EPOCH + 1, 3, CHANGES)));
    assertFalse(CachePosition.START.covers(page(0, 0, CHANGES)));
  }
}
