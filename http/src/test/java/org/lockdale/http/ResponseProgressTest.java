package org.lockdale.http;

import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that endless replies exceed the limits and long good ones don't. */
public final class ResponseProgressTest {

  private static final int LIMIT = (int) ResponseLimits.OVERHEAD_BYTES;

  @Test
  public void aLongReplyInChunksOfFiveBytesIsAccepted() {
    ResponseProgress progress = new ResponseProgress();
    for (long chunks = 0; chunks < LIMIT; chunks++) {
      progress.recordReceived("5\r\nfives\r\n".length());
      progress.recordContent(5);
    }
    assertNull(progress.problem());
  }

  @Test
  public void chunksOfOneByteAreBounded() {
    ResponseProgress progress = new ResponseProgress();
    int bytes = 0;
    while (progress.problem() == null) {
      progress.recordReceived("1\r\nx\r\n".length());
      progress.recordContent(1);
      bytes++;
    }
    assertTrue(bytes > LIMIT / 8 && bytes <= LIMIT, bytes + " bytes of content");
  }

  @Test
  public void bytesWithoutContentAreBounded() {
    ResponseProgress progress = new ResponseProgress();
    progress.recordReceived(LIMIT);
    assertNull(progress.problem());
    progress.recordReceived(1);
    assertNotNull(progress.problem());
  }

  @Test
  public void informationalHeadsAreBounded() {
    ResponseProgress progress = new ResponseProgress();
    for (int heads = 0; heads < ResponseLimits.INFORMATIONAL_HEADS; heads++) {
      progress.recordInformationalHead();
    }
    assertNull(progress.problem());
    progress.recordInformationalHead();
    assertNotNull(progress.problem());
  }

  @Test
  public void aLargeSurplusReplyIsSkippedAndAnEndlessOneIsNot() {
    ResponseProgress progress = new ResponseProgress();
    int limit = (int) ResponseLimits.SURPLUS_BYTES;
    progress.recordReceived(limit);
    progress.recordSurplus(limit);
    assertNull(progress.problem());
    progress.recordReceived(1);
    progress.recordSurplus(1);
    assertNotNull(progress.problem());
  }

  @Test
  public void contentThatNobodyWantsIsBounded() {
    ResponseProgress progress = new ResponseProgress();
    int limit = (int) ResponseLimits.UNWANTED_BYTES;
    progress.recordReceived(limit);
    progress.recordUnwanted(limit);
    assertNull(progress.problem());
    progress.recordUnwanted(1);
    assertNotNull(progress.problem());
  }
}
