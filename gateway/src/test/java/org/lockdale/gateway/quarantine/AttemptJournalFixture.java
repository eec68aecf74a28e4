package org.lockdale.gateway.quarantine;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.testng.annotations.BeforeMethod;

/** A journal of attempts in simulated time, on rows that the test can delay or refuse. */
abstract class AttemptJournalFixture {

  static final AttemptIds IDS = new AttemptIds("node");
  static final SuspectAttempt ATTEMPT = attempt(1);
  static final ToLongFunction<String> NEVER_ALIVE = backend -> Long.MIN_VALUE;

  /** Keeps one row a key, as the shared store does. */
  static final class Rows extends EmptySuspectTable {
    final Set<SuspectAttempt> present = new LinkedHashSet<>();
    final List<Runnable> delayed = new ArrayList<>();
    boolean slow;
    boolean unavailable;

    private CompletableFuture<Void> change(Runnable change) {
      if (slow) {
        CompletableFuture<Void> changed = new CompletableFuture<>();
        delayed.add(
            () -> {
              change.run();
              changed.complete(null);
            });
        return changed;
      }
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

  VirtualTime time;
  Rows rows;
  AttemptJournal journal;

  @BeforeMethod
  public void start() {
    time = new VirtualTime();
    rows = new Rows();
    journal = newJournal(IDS);
  }

  AttemptJournal newJournal(AttemptIds ids) {
    return new AttemptJournal(rows, ids, Runnable::run, time);
  }

  static SuspectAttempt attempt(int number) {
    return attempt(number, IDS);
  }

  static SuspectAttempt attempt(int number, AttemptIds ids) {
    return new SuspectAttempt(new RequestFingerprint(number, number), number, "i-1@1", ids.next());
  }

  List<SuspectAttempt> rows() {
    return List.copyOf(rows.present);
  }

  Set<String> unresolvedBackends(long lastAliveAtMillis) {
    UnresolvedAttempts attempts =
        journal.unresolved(backend -> lastAliveAtMillis).get(ATTEMPT.fingerprint());
    return attempts == null ? Set.of() : attempts.backends();
  }

  static BackendTable table(String... ids) {
    List<Backend> backends = new ArrayList<>();
    for (String id : ids) {
      InetSocketAddress address = InetSocketAddress.createUnresolved(id, 80);
      backends.add(new Backend(id, "pool", address, "zone", 4, false, Map.of()));
    }
    return BackendTable.EMPTY.with(backends);
  }

  void tickFor(long millis, boolean coordinator) {
    for (long passed = 0; passed < millis; passed += 250) {
      journal.tick(coordinator);
      time.runMillis(250);
    }
  }
}
