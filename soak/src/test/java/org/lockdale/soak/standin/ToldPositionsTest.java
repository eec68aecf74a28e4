package org.lockdale.soak.standin;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.testng.annotations.Test;

/** Checks which calls for cache events show that their node is one reply behind. */
public final class ToldPositionsTest {

  private final ToldPositions positions = new ToldPositions();

  @Test
  public void aCallBehindTheLastReplyOfItsConnectionIsDetected() throws IOException {
    try (Socket connection = new Socket();
        Socket other = new Socket()) {
      positions.record(connection, "{\"nextPageToken\":7}");
      assertTrue(positions.isBehind(connection, 6));
      assertFalse(positions.isBehind(connection, 7));
      assertFalse(positions.isBehind(connection, 8));
      assertFalse(positions.isBehind(connection, 0));
      assertFalse(positions.isBehind(other, 6));
    }
  }
}
