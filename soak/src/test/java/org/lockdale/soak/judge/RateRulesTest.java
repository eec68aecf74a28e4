package org.lockdale.soak.judge;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** A server that takes two requests a second bears seventeen in four. */
public final class RateRulesTest {

  private static final long T = 100_000;
  private static final String SERVER = "server-1";

  /** Requests of two nodes that were told, one each 200 ms from a second after that on. */
  private static Notes history(int requests) {
    Notes notes = new Notes();
    notes.add(new Note.RateNamed(T, SERVER, 2.0));
    for (String node : List.of("node-1", "node-2")) {
      notes.add(Notes.sentTo(node, T, "told-" + node, RequestKind.SAFE));
      notes.add(new Note.RateTold(T, SERVER, "told-" + node));
    }
    for (int request = 0; request < requests; request++) {
      String id = "r" + request;
      long at = T + 1_000 + request * 200L;
      notes.add(Notes.sentTo(request % 2 == 0 ? "node-1" : "node-2", at, id, RequestKind.SAFE));
      notes.add(new Note.Arrived(at, SERVER, "pool", id));
    }
    return notes;
  }

  private static boolean isBroken(Notes notes) {
    return notes.brokenRules().contains("LIMIT");
  }

  @Test
  public void moreThanIsBorneInFourSecondsIsRefused() {
    assertEquals(isBroken(history(17)), false);
    assertEquals(isBroken(history(18)), true);
  }

  @Test
  public void nodesThatWereNotToldOrWereDisruptedAreNotBound() {
    assertEquals(
        isBroken(history(18).add(new Note.DisruptionBegan(T + 500, 7, "node-1", false))), false);
    Notes untold = new Notes().add(new Note.RateNamed(T, SERVER, 2.0));
    for (int request = 0; request < 30; request++) {
      untold.add(Notes.sent(T + 1_000, "r" + request, RequestKind.SAFE));
      untold.add(new Note.Arrived(T + 3_500, SERVER, "pool", "r" + request));
    }
    assertEquals(isBroken(untold), false);
  }

  /**
   * In a loaded run a server named a rate again 13 s after it had ceased to, and nothing was sent
   * there meanwhile; seven requests were under way when the first answer told the node of it.
   */
  @Test
  public void whatWasToldBeforeAPauseBindsNobodyAfterIt() {
    Notes notes = new Notes();
    notes.add(new Note.RateNamed(T - 50_000, SERVER, 2.0));
    notes.add(new Note.RateNamed(T - 40_000, SERVER, null));
    notes.add(new Note.RateNamed(T, SERVER, 2.0));
    notes.add(Notes.sentTo("node-1", T - 45_000, "told-before", RequestKind.SAFE));
    notes.add(new Note.RateTold(T - 45_000, SERVER, "told-before"));
    for (int request = 0; request < 18; request++) {
      String id = "r" + request;
      notes.add(Notes.sentTo("node-1", T + 4_000, id, RequestKind.SAFE));
      notes.add(new Note.Arrived(T + 4_100 + request, SERVER, "pool", id));
    }
    assertEquals(isBroken(notes), false);
    notes.add(Notes.sentTo("node-1", T + 3_000, "told-again", RequestKind.SAFE));
    notes.add(new Note.RateTold(T + 3_100, SERVER, "told-again"));
    assertEquals(isBroken(notes), true);
  }

  @Test
  public void aServerThatNamesNoRateAnyMoreIsNotCounted() {
    assertEquals(isBroken(history(18).add(new Note.RateNamed(T + 2_000, SERVER, null))), false);
  }
}
