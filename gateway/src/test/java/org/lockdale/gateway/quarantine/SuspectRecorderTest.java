package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.simulation.VirtualTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which node records a suspect, when, and when its row is removed. */
public final class SuspectRecorderTest {

  private static final long HOLD_MILLIS = 60_000;

  private final class Rows extends EmptySuspectTable {
    private final List<Suspect> written = new ArrayList<>();
    private final List<RequestFingerprint> removed = new ArrayList<>();
    private boolean unavailable;

    @Override
    public CompletableFuture<Void> record(Suspect suspect) {
      if (unavailable) {
        return CompletableFuture.failedFuture(new IllegalStateException("unavailable"));
      }
      written.add(suspect);
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> remove(RequestFingerprint fingerprint) {
      removed.add(fingerprint);
      return CompletableFuture.completedFuture(null);
    }
  }

  private VirtualTime time;
  private SuspectLedger ledger;
  private Rows rows;
  private SuspectRecorder recorder;
  private boolean coordinator;

  @BeforeMethod
  public void start() {
    time = new VirtualTime();
    ledger = new SuspectLedger(HOLD_MILLIS);
    rows = new Rows();
    coordinator = false;
    recorder = new SuspectRecorder(ledger, rows, () -> coordinator, Runnable::run, time);
  }

  private static Suspect suspect(int number, String... backends) {
    Map<String, CrashInvolvement> crashes = new HashMap<>();
    for (String backend : backends) {
      crashes.put(backend, new CrashInvolvement(true, false));
    }
    return new Suspect(new RequestFingerprint(number, number), number, crashes);
  }

  private void learn(Suspect suspect) {
    ledger.merge(suspect, time.monotonicMillis());
  }

  private void tickFor(long millis) {
    for (long passed = 0; passed < millis; passed += 100) {
      recorder.tick();
      time.runMillis(100);
    }
  }

  @Test
  public void theNodeThatObservedTheSecondCrashRecordsItAtOnce() {
    learn(suspect(1, "a", "b"));
    recorder.markSeenLocally(new RequestFingerprint(1, 1));
    recorder.tick();
    assertEquals(rows.written, List.of(suspect(1, "a", "b")));
    tickFor(2_000);
    assertEquals(rows.written.size(), 1, "written once");
  }

  /**
   * All nodes were killed after the first crash of a backend that ran a request, before the second.
   */
  @Test
  public void aFirstCrashIsRecordedAtOnceSoThatItOutlivesAllNodes() {
    learn(suspect(1, "a"));
    recorder.markSeenLocally(new RequestFingerprint(1, 1));
    recorder.tick();
    assertEquals(rows.written, List.of(suspect(1, "a")));
  }

  @Test
  public void aSingleCrashUnderALongRunningAnswerIsNotRecorded() {
    Map<String, CrashInvolvement> late = Map.of("a", new CrashInvolvement(false, false));
    learn(new Suspect(new RequestFingerprint(1, 1), 1, late));
    recorder.markSeenLocally(new RequestFingerprint(1, 1));
    tickFor(2_000);
    assertTrue(rows.written.isEmpty());
  }

  @Test
  public void aRowWithASingleCrashIsRemovedAfterAWhileAndNotWrittenAgain() {
    coordinator = true;
    learn(suspect(1, "a"));
    recorder.markSeenLocally(new RequestFingerprint(1, 1));
    tickFor(29_000);
    assertTrue(rows.removed.isEmpty());
    tickFor(20_000);
    assertEquals(rows.removed, List.of(new RequestFingerprint(1, 1)));
    assertEquals(rows.written.size(), 1);
  }

  @Test
  public void aRetractedSingleCrashCostsNoSecondWrite() {
    coordinator = true;
    learn(suspect(1, "a"));
    recorder.markSeenLocally(new RequestFingerprint(1, 1));
    recorder.tick();
    ledger.clear(new RequestFingerprint(1, 1));
    tickFor(16_000);
    assertEquals(rows.written.size(), 1);
    assertEquals(rows.removed, List.of(new RequestFingerprint(1, 1)));
  }

  @Test
  public void rowsWithASingleCrashAreFewAndLeaveRoomForOthers() {
    for (int number = 0; number < 200; number++) {
      learn(suspect(number, "a"));
      recorder.markSeenLocally(new RequestFingerprint(number, number));
    }
    tickFor(3_000);
    assertEquals(rows.written.size(), 32);
    learn(suspect(777, "a", "b"));
    recorder.markSeenLocally(new RequestFingerprint(777, 777));
    recorder.tick();
    assertEquals(rows.written.size(), 33, "one with two crashes is recorded nevertheless");
  }

  @Test
  public void theCoordinatorRecordsWhatTheObservingNodeDoesNot() {
    coordinator = true;
    learn(suspect(1, "a", "b"));
    tickFor(400);
    assertTrue(rows.written.isEmpty());
    tickFor(200);
    assertEquals(rows.written.size(), 1);
  }

  @Test
  public void anyNodeRecordsWhatNobodyElseDoes() {
    learn(suspect(1, "a", "b"));
    tickFor(1_200);
    assertTrue(rows.written.isEmpty());
    tickFor(200);
    assertEquals(rows.written.size(), 1);
  }

  @Test
  public void aRowThatContainsEverythingIsNotWrittenAgain() {
    learn(suspect(1, "a", "b"));
    recorder.update(List.of(suspect(1, "a", "b", "c")));
    tickFor(2_000);
    assertTrue(rows.written.isEmpty());
  }

  @Test
  public void aRowThatContainsLessIsWrittenAgain() {
    learn(suspect(1, "a", "b"));
    recorder.markSeenLocally(new RequestFingerprint(1, 1));
    recorder.update(List.of(suspect(1, "b", "c")));
    learn(suspect(1, "b", "c"));
    recorder.tick();
    assertEquals(rows.written, List.of(suspect(1, "a", "b", "c")));
  }

  @Test
  public void aStoreThatIsBackIsWrittenToSoon() {
    rows.unavailable = true;
    learn(suspect(1, "a", "b"));
    recorder.markSeenLocally(new RequestFingerprint(1, 1));
    tickFor(5_000);
    rows.unavailable = false;
    tickFor(600);
    assertEquals(rows.written.size(), 1);
  }

  @Test
  public void aClearedSuspectIsRecordedAsSuchAndItsRowRemovedLater() {
    coordinator = true;
    recorder.update(List.of(suspect(1, "a", "b")));
    learn(suspect(1, "a", "b"));
    ledger.clear(new RequestFingerprint(1, 1));
    tickFor(600);
    assertEquals(rows.written, List.of(suspect(1, "a", "b").withAllCleared()));
    tickFor(14_000);
    assertTrue(rows.removed.isEmpty());
    tickFor(2_000);
    assertEquals(rows.removed, List.of(new RequestFingerprint(1, 1)));
  }

  @Test
  public void aRowThatTheLedgerHasForgottenDoesNotComeBackFromTheNextReading() {
    Suspect old = suspect(1, "a", "b");
    assertEquals(recorder.update(List.of(old)), List.of(old));
    assertEquals(recorder.update(List.of(old, suspect(2, "c", "d"))).size(), 1);
  }

  @Test
  public void rowsOfRequestsThatAreNotQuarantinedAreFew() {
    for (int number = 0; number < 200; number++) {
      learn(suspect(number, "a", "b"));
      recorder.markSeenLocally(new RequestFingerprint(number, number));
    }
    tickFor(3_000);
    assertEquals(rows.written.size(), 32);
    learn(suspect(777, "a", "b", "c"));
    recorder.markSeenLocally(new RequestFingerprint(777, 777));
    recorder.tick();
    assertEquals(rows.written.size(), 33, "one that is quarantined is recorded nevertheless");
  }
}
