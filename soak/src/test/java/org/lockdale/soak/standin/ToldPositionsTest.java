package org.lockdale.soak.standin;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.testng.annotations.Test;

/** Checks which calls for cache events show that their node took an older page for the first. */
public final class ToldPositionsTest {

  private final ToldPositions positions = new ToldPositions();

  @Test
  public void aCallBehindTheFirstPageOfItsConnectionIsDetected() throws IOException {
    try (Socket connection = new Socket();
        Socket other = new Socket()) {
      positions.record(connection, 2, "{\"nextPageToken\":6}");
      assertFalse(positions.isBehind(connection, 6));
      positions.record(connection, 0, "{\"nextPageToken\":7}");
      assertTrue(positions.isBehind(connection, 6));
      assertFalse(positions.isBehind(connection, 7));
      assertFalse(positions.isBehind(connection, 8));
      assertFalse(positions.isBehind(connection, 0));
      assertFalse(positions.isBehind(other, 6));
      positions.record(connection, 7, "{\"nextPageToken\":9}");
      assertFalse(positions.isBehind(connection, 8));
    }
  }

  @Test
  public void aCallThatGoesOnFromAPageOfAnotherConnectionIsNotBehind() throws IOException {
    try (Socket closedFollower = new Socket();
        Socket follower = new Socket()) {
      positions.record(follower, 0, "{\"nextPageToken\":2}");
      positions.record(closedFollower, 0, "{\"nextPageToken\":7}");
      assertFalse(positions.isBehind(closedFollower, 2));
    }
  }
}
