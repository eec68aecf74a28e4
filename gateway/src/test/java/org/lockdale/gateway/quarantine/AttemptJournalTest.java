package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that the rows of attempts of suspects outlive the nodes that wrote them, and count if the
 * backends crash.
 */
public final class AttemptJournalTest {

  private static final SuspectAttempt ATTEMPT = attempt(1);

  private final class Rows extends EmptySuspectTable {
    private final List<SuspectAttempt> present = new ArrayList<>();
    private boolean unavailable;

    private CompletableFuture<Void> change(Runnable change) {
      if (unavailable) {
        return CompletableFuture.failedFuture(new IllegalStateException("unavailable"));
      }
      change.run();
      return CompletableFuture.completedFuture(null);
    }

    @Override
    public CompletableFuture<Void> recordAttempt(SuspectAttempt attempt) {
      return change(() -> present.add(attempt));
    }

    @Override
    public CompletableFuture<Void> removeAttempt(SuspectAttempt attempt) {
      return change(() -> present.remove(attempt));
    }
  }

  private VirtualTime time;
  private Rows rows;
  private AttemptJournal journal;

  @BeforeMethod
  public void start() {
    time = new VirtualTime();
    rows = new Rows();
    journal = new AttemptJournal(rows, Runnable::run, time);
  }

  private static SuspectAttempt attempt(int number) {
    return new SuspectAttempt(new RequestFingerprint(number, number), number, "i-1@1");
  }

  private static BackendTable table(String... ids) {
    List<Backend> backends = new ArrayList<>();
    for (String id : ids) {
      InetSocketAddress address = InetSocketAddress.createUnresolved(id, 80);
      backends.add(new Backend(id, "pool", address, "zone", 4, false, Map.of()));
    }
    return BackendTable.EMPTY.with(backends);
  }

  private void tickFor(long millis, boolean coordinator) {
    for (long passed = 0; passed < millis; passed += 250) {
      journal.tick(coordinator);
      time.runMillis(250);
    }
  }

  /**
   * Three servers crashed, each within 0.2 s before the only node that knew of the crash was
   * killed.
   */
  @Test
  public void attemptOfAKilledNodeCountsOnceItsBackendHasALaterIncarnation() {
    journal.recordStart(ATTEMPT);
    AttemptJournal next = new AttemptJournal(rows, Runnable::run, time);
    next.update(rows.present);
    assertEquals(next.takeCrashed(table("i-1@1")), List.of());
    assertEquals(next.takeCrashed(table("i-1@2")), List.of(ATTEMPT));
    assertEquals(next.takeCrashed(table("i-1@2")), List.of(), "reported once");
  }

  @Test
  public void anIncarnationWithoutARecordCountsAsEndedAfterAWhile() {
    journal.update(List.of(ATTEMPT));
    assertEquals(journal.takeCrashed(table("i-2@1")), List.of(), "its record may not be read yet");
    time.runMillis(5_000);
    assertEquals(journal.takeCrashed(table()), List.of(), "no record is read");
    assertEquals(journal.takeCrashed(table("i-2@1")), List.of(ATTEMPT));
  }

  /** A table that was read before the incarnation started contains the previous one. */
  @Test
  public void aRecordOfAnEarlierIncarnationShowsNothing() {
    journal.update(List.of(ATTEMPT));
    time.runMillis(5_000);
    assertEquals(journal.takeCrashed(table("i-1@0")), List.of());
  }

  @Test
  public void aConcludedAttemptLeavesNoRow() {
    journal.recordStart(ATTEMPT);
    journal.recordStart(ATTEMPT);
    journal.recordConclusion(ATTEMPT, false);
    assertEquals(rows.present, List.of(ATTEMPT), "one is still in progress");
    journal.recordConclusion(ATTEMPT, false);
    assertEquals(rows.present, List.of());
  }

  @Test
  public void aLostAttemptStaysRecordedUntilItsBackendsFateIsKnown() {
    journal.recordStart(ATTEMPT);
    journal.recordConclusion(ATTEMPT, true);
    tickFor(9_000, false);
    assertEquals(rows.present, List.of(ATTEMPT));
    tickFor(2_000, false);
    assertEquals(rows.present, List.of());
  }

  @Test
  public void aRowThatTheStoreDidNotRemoveIsRemovedLater() {
    journal.recordStart(ATTEMPT);
    rows.unavailable = true;
    journal.recordConclusion(ATTEMPT, false);
    rows.unavailable = false;
    tickFor(500, false);
    assertEquals(rows.present, List.of());
  }

  @Test
  public void rowsOfNodesThatAreGoneAreRemovedByTheCoordinator() {
    rows.present.add(ATTEMPT);
    journal.update(rows.present);
    tickFor(29_000, true);
    assertEquals(rows.present, List.of(ATTEMPT));
    tickFor(2_000, true);
    assertEquals(rows.present, List.of());
  }

  @Test
  public void aNodeRecordsFewAttempts() {
    for (int number = 0; number < 100; number++) {
      journal.recordStart(attempt(number));
    }
    assertEquals(rows.present.size(), 32);
  }
}
