package org.lockdale.soak.standin;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import org.testng.annotations.Test;

/** Checks which calls for cache events show that their node took an older page for the first. */
public final class FirstPageEndsTest {

  private final FirstPageEnds firstPageEnds = new FirstPageEnds();

  @Test
  public void aCallBehindTheFirstPageOfItsConnectionIsDetected() throws IOException {
    try (Socket connection = new Socket();
        Socket other = new Socket()) {
      firstPageEnds.record(connection, 0, "{\"nextPageToken\":7}");
      assertTrue(firstPageEnds.isBehind(connection, 6));
      assertFalse(firstPageEnds.isBehind(connection, 7));
      assertFalse(firstPageEnds.isBehind(connection, 8));
      assertFalse(firstPageEnds.isBehind(connection, 0));
      assertFalse(firstPageEnds.isBehind(other, 6));
      firstPageEnds.record(connection, 7, "{\"nextPageToken\":9}");
      assertFalse(firstPageEnds.isBehind(connection, 8));
    }
  }
}
