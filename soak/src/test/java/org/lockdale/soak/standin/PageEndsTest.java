package org.lockdale.soak.standin;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.testng.annotations.Test;

/** Checks which calls for cache events show that their node took an older page for the first. */
public final class PageEndsTest {

  private final PageEnds pageEnds = new PageEnds();

  @Test
  public void aCallBehindTheFirstPageOfItsConnectionIsDetected() throws IOException {
    try (Socket connection = new Socket();
        Socket other = new Socket()) {
      pageEnds.record(connection, 2, "{\"nextPageToken\":6}");
      assertFalse(pageEnds.isBehind(connection, 6));
      pageEnds.record(connection, 0, "{\"nextPageToken\":7}");
      assertTrue(pageEnds.isBehind(connection, 6));
      assertFalse(pageEnds.isBehind(connection, 7));
      assertFalse(pageEnds.isBehind(connection, 8));
      assertFalse(pageEnds.isBehind(connection, 0));
      assertFalse(pageEnds.isBehind(other, 6));
      pageEnds.record(connection, 7, "{\"nextPageToken\":9}");
      assertFalse(pageEnds.isBehind(connection, 8));
    }
  }

  @Test
  public void aCallThatGoesOnFromAPageOfAnotherConnectionIsNotBehind() throws IOException {
    try (Socket closedFollower = new Socket();
        Socket follower = new Socket()) {
      pageEnds.record(follower, 0, "{\"nextPageToken\":2}");
      pageEnds.record(closedFollower, 0, "{\"nextPageToken\":7}");
      assertFalse(pageEnds.isBehind(closedFollower, 2));
    }
  }
}
