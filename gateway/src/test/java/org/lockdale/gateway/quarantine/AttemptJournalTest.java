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

/** Attempts of suspects outlive the nodes that send them, and count if their back ends end. */
public final class AttemptJournalTest {

  private static final SuspectAttempt ATTEMPT = attempt(1);

  private final class Rows extends EmptySuspectTable {
    private final List<SuspectAttempt> present = new ArrayList<>();
    private boolean away;

    private CompletableFuture<Void> change(Runnable change) {
      if (away) {
        return CompletableFuture.failedFuture(new IllegalStateException("away"));
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

  private static BackendTable table(String... lives) {
    List<Backend> backends = new ArrayList<>();
    for (String life : lives) {
      InetSocketAddress address = InetSocketAddress.createUnresolved(life, 80);
      backends.add(new Backend(life, "pool", address, "zone", 4, false, Map.of()));
    }
    return BackendTable.EMPTY.with(backends);
  }

  private void tickFor(long millis, boolean coordinator) {
    for (long passed = 0; passed < millis; passed += 250) {
      journal.tick(coordinator);
      time.runMillis(250);
    }
  }

  /** Three servers ended within 0.2 s before the kill of the only node that knew of each. */
  @Test
  public void whatAKilledNodeHadSentCountsOnceItsBackEndHasANextLife() {
    journal.begin(ATTEMPT);
    AttemptJournal next = new AttemptJournal(rows, Runnable::run, time);
    next.update(rows.present);
    assertEquals(next.takeCrashed(table("i-1@1")), List.of());
    assertEquals(next.takeCrashed(table("i-1@2")), List.of(ATTEMPT));
    assertEquals(next.takeCrashed(table("i-1@2")), List.of(), "once");
  }

  @Test
  public void aLifeWithoutARecordIsOverAfterAWhile() {
    journal.update(List.of(ATTEMPT));
    assertEquals(journal.takeCrashed(table("i-2@1")), List.of(), "its record may not be read yet");
    time.runMillis(5_000);
    assertEquals(journal.takeCrashed(table()), List.of(), "no record is read");
    assertEquals(journal.takeCrashed(table("i-2@1")), List.of(ATTEMPT));
  }

  /** A table that was read before the life began has the one before it. */
  @Test
  public void anEarlierLifeOnRecordShowsNothing() {
    journal.update(List.of(ATTEMPT));
    time.runMillis(5_000);
    assertEquals(journal.takeCrashed(table("i-1@0")), List.of());
  }

  @Test
  public void whatWasConcludedLeavesNoRow() {
    journal.begin(ATTEMPT);
    journal.begin(ATTEMPT);
    journal.conclude(ATTEMPT, false);
    assertEquals(rows.present, List.of(ATTEMPT), "one is still under way");
    journal.conclude(ATTEMPT, false);
    assertEquals(rows.present, List.of());
  }

  @Test
  public void whatWasLostStaysOnRecordUntilItsBackEndsFateIsKnown() {
    journal.begin(ATTEMPT);
    journal.conclude(ATTEMPT, true);
    tickFor(9_000, false);
    assertEquals(rows.present, List.of(ATTEMPT));
    tickFor(2_000, false);
    assertEquals(rows.present, List.of());
  }

  @Test
  public void aRowThatTheStoreDidNotRemoveIsRemovedLater() {
    journal.begin(ATTEMPT);
    rows.away = true;
    journal.conclude(ATTEMPT, false);
    rows.away = false;
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
  public void aNodeKeepsFewAttemptsOnRecord() {
    for (int number = 0; number < 100; number++) {
      journal.begin(attempt(number));
    }
    assertEquals(rows.present.size(), 32);
  }
}
