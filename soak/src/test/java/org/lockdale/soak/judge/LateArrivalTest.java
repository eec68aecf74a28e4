package org.lockdale.soak.judge;

import static org.lockdale.soak.judge.Notes.sent;
import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/**
 * On a machine with four times as many busy threads as cores the judge charged nodes with requests
 * that reached servers 0.6 to 0.9 s after their callers had left. The nodes' logs had {@code
 * request-ended outcome=caller-left} 1 to 75 ms after each of these callers had left: what was late
 * was the soak's own proxy, which looks up whose connection it passes on, and its servers.
 */
public final class LateArrivalTest {

  private static final long T = 100_000;
  private static final int REQUESTS = 4;
  private static final String SERVER = "server-1";
  private static final List<String> BROKEN = List.of("GONE");

  private static Notes lateArrivals() {
    Notes notes = new Notes();
    for (int number = 0; number < REQUESTS; number++) {
      notes.add(sent(T, "r" + number, RequestKind.SAFE));
      notes.add(new Note.Left(T + 50, "r" + number));
      notes.add(new Note.Arrived(T + 700, SERVER, "pool", "r" + number));
    }
    return notes;
  }

  private static void heldUp(Notes notes, long from, long until, String what) {
    notes.add(new Note.DisruptionBegan(from, 1_000, what, false));
    notes.add(new Note.DisruptionEnded(until, 1_000));
  }

  private static List<String> brokenWhere(long from, long until, String what) {
    Notes notes = lateArrivals();
    heldUp(notes, from, until, what);
    return notes.brokenRules();
  }

  @Test
  public void aLateArrivalIsTheNodesUnlessTheSoakItselfWasLate() {
    assertEquals(lateArrivals().brokenRules(), BROKEN);
  }

  @Test
  public void whatTheProxyOrTheServerHeldUpIsNotTheNodes() {
    assertEquals(brokenWhere(T + 20, T + 690, "node-1>" + SERVER), List.of());
    assertEquals(brokenWhere(T + 20, T + 690, History.PROXY), List.of());
    assertEquals(brokenWhere(T + 20, T + 690, History.stalled(SERVER)), List.of());
  }

  @Test
  public void whatWasHeldUpElsewhereOrAtAnotherTimeExcusesNothing() {
    assertEquals(brokenWhere(T + 20, T + 690, "node-2>" + SERVER), BROKEN);
    assertEquals(brokenWhere(T + 20, T + 690, "node-1>another"), BROKEN);
    assertEquals(brokenWhere(T - 900, T - 200, "node-1>" + SERVER), BROKEN);
    assertEquals(brokenWhere(T + 720, T + 900, History.PROXY), BROKEN);
  }
}
