package org.lockdale.soak.judge;

import static org.lockdale.soak.judge.HistoryBuilder.answered;
import static org.lockdale.soak.judge.HistoryBuilder.facts;
import static org.lockdale.soak.judge.HistoryBuilder.sent;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Streams with events of two software versions are found, inside one response and over several. */
public final class SoftwareVersionRulesTest {

  private static final long T = 100_000;
  private static final String SERVER = "server-1";
  private static final String SAME_VERSION = "server-3";
  private static final String OTHER_VERSION = "server-2";

  private static Note.Begun begunAt(String server, long at, String id, String run, int after) {
    return new Note.Begun(at, server, "pool", id, run, facts(), "tenant-1", 0, 7_000, 3_000, after);
  }

  private static String pieces(String run, int first, int last, boolean ends) {
    StringBuilder text = new StringBuilder();
    for (int id = first; id <= last; id++) {
      text.append(new StreamPiece(id, run, ends && id == last).text());
    }
    return text.toString();
  }

  private static HistoryBuilder continuedInOneResponse(String server) {
    String body = pieces("run-1", 1, 2, false) + pieces("run-2", 3, 4, true);
    return new HistoryBuilder()
        .add(sent(T, "r1", RequestKind.RESUMABLE))
        .add(begunAt(SERVER, T + 5, "r1", "run-1", 0))
        .add(new Note.Ended(T + 40, "run-1", 200, body, false))
        .add(begunAt(server, T + 50, "r1", "run-2", 2))
        .add(answered(T + 90, "r1", 200, "run-1", body));
  }

  private static HistoryBuilder takenUp(String server, String node) {
    String first = pieces("run-1", 1, 2, false);
    String rest = pieces("run-2", 3, 4, true);
    return new HistoryBuilder()
        .add(sent(T, "r1", RequestKind.RESUMABLE))
        .add(begunAt(SERVER, T + 5, "r1", "run-1", 0))
        .add(new Note.Ended(T + 40, "run-1", 200, first, false))
        .add(new Note.Answered(T + 50, "r1", 200, "run-1", first, false))
        .add(
            new Note.Sent(
                T + 60, "r2", node, RequestKind.RESUMABLE, facts(), HistoryBuilder.KEY, 8_000, 2))
        .add(new Note.TakenUp(T + 60, "r2", "r1"))
        .add(begunAt(server, T + 70, "r2", "run-2", 2))
        .add(answered(T + 90, "r2", 200, "run-2", rest));
  }

  @Test
  public void serversOfTheseTestsHaveTwoVersions() {
    assertEquals(SoftwareVersions.of(SERVER), SoftwareVersions.of(SAME_VERSION + "@17"));
    assertNotEquals(SoftwareVersions.of(SERVER), SoftwareVersions.of(OTHER_VERSION));
  }

  @Test
  public void aStreamOfTwoVersionsInOneResponseIsFound() {
    assertEquals(continuedInOneResponse(OTHER_VERSION).violatedRules(), List.of("ORDER"));
    assertEquals(continuedInOneResponse(SAME_VERSION).violatedRules(), List.of());
  }

  @Test
  public void aStreamOfTwoVersionsOverSeveralRequestsIsFound() {
    assertEquals(takenUp(OTHER_VERSION, "node-2").violatedRules(), List.of("ORDER"));
    assertEquals(takenUp(SAME_VERSION, "node-2").violatedRules(), List.of());
  }

  private static HistoryBuilder takenUpAfter(boolean ended) {
    String first = pieces("run-1", 1, 2, ended);
    return new HistoryBuilder()
        .add(sent(T, "r1", RequestKind.RESUMABLE))
        .add(begunAt(SERVER, T + 5, "r1", "run-1", 0))
        .add(new Note.Ended(T + 40, "run-1", 200, first, false))
        .add(new Note.Answered(T + 50, "r1", 200, "run-1", first, false))
        .add(
            new Note.Sent(
                T + 60,
                "r2",
                "node-1",
                RequestKind.RESUMABLE,
                facts(),
                HistoryBuilder.KEY,
                8_000,
                2))
        .add(new Note.TakenUp(T + 60, "r2", "r1"))
        .add(begunAt(SERVER, T + 70, "r2", "run-2", 2))
        .add(answered(T + 90, "r2", 200, "run-2", ""));
  }

  @Test
  public void anEmptyCompletionIsRightOnlyAfterTheLastEvent() {
    assertEquals(takenUpAfter(true).violatedRules(), List.of());
    assertEquals(takenUpAfter(false).violatedRules(), List.of("ORDER"));
  }

  @Test
  public void nodesOfTheFormerBuildMayMixVersions() {
    String former = History.previousBuild("node-2");
    HistoryBuilder history =
        takenUp(OTHER_VERSION, "node-2").add(new Note.DisruptionBegan(T, 1, former, false));
    assertEquals(history.violatedRules(), List.of());
  }
}
