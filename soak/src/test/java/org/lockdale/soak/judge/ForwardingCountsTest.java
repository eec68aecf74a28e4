package org.lockdale.soak.judge;

import static org.lockdale.soak.judge.HistoryBuilder.sent;
import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Checks that each forwarded request counts once. */
public final class ForwardingCountsTest {

  private static final long T = 100_000;

  @Test
  public void eachForwardedRequestCountsOnce() {
    History history = new History(Bounds.standard());
    history.add(sent(T, "single", RequestKind.SAFE));
    history.add(sent(T, "stream", RequestKind.RESUMABLE));
    history.add(sent(T, "other", RequestKind.STREAM));
    history.add(new Note.Forwarded(T + 5, "node-1", "single"));
    history.add(new Note.Forwarded(T + 5, "node-1", "stream"));
    history.add(new Note.Forwarded(T + 9, "node-1", "stream"));
    assertEquals(ForwardingCounts.of(history), new ForwardingCounts(2, 1));
  }
}
