package org.lockdale.gateway.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.quarantine.row.RowWriter;
import org.lockdale.gateway.quarantine.row.UnneededRows;
import org.tinylog.Logger;

/**
 * Keeps the rows of the main suspects in the shared store up to date with the ledger. The node that
 * observed a crash records it at once; what no node has recorded after a while is recorded by the
 * coordinating relay node, and later by any node, so that it is recorded once the store is
 * available again, whatever became of the other nodes. Two nodes may overwrite each other's row; a
 * node that finds a row incomplete writes it again. Runs on one event loop.
 */
final class SuspectRecorder {

  /**
   * Delay before the coordinator writes a row; the node that observed the crash writes it within
   * this time unless the store fails.
   */
  private static final long COORDINATOR_DELAY_MILLIS = 400;

  /**
   * Delay before any other node writes a row. Nodes that are connected again must agree within
   * three seconds; the difference is for reading the table.
   */
  private static final long OTHERS_DELAY_MILLIS = 1_200;

  /**
   * Number of rows from which on requests with a single crash are not recorded. A server that
   * crashes runs about twenty requests, a few of which have no response yet.
   */
  private static final int MAX_SINGLE_CRASH_ROWS = 32;

  /**
   * Age of a single crash up to which its row is kept; a request that crashes servers does so again
   * within seconds.
   */
  private static final long SINGLE_CRASH_ROW_MILLIS = 30_000;

  /**
   * Greatest age of a single crash that is recorded; less than the age up to which its row is kept,
   * so that no row is written again that was just removed.
   */
  private static final long SINGLE_CRASH_WRITE_MILLIS = 20_000;

  /**
   * Number of rows of significant suspects from which on those that are not quarantined yet are not
   * recorded. While servers crash all the time, many innocent requests reach two crashes, and each
   * row costs a call to the store and is read by all nodes.
   */
  private static final int MAX_SIGNIFICANT_ROWS = 32;

  /**
   * Number of rows from which on no further suspect is recorded, since a caller may send any number
   * of different requests that crash servers.
   */
  private static final int MAX_ROWS = 256;

  private record Missing(Suspect suspect, long sinceMillis) {}

  private final SuspectLedger ledger;
  private final SuspectTable table;
  private final BooleanSupplier coordinator;
  private final Time time;
  private final Set<RequestFingerprint> seenLocally = new HashSet<>();
  private final Map<RequestFingerprint, Suspect> recorded = new HashMap<>();
  private final Map<RequestFingerprint, Missing> missing = new HashMap<>();
  private final UnneededRows<RequestFingerprint> unneeded = new UnneededRows<>();
  private final RowWriter<RequestFingerprint> writer;

  SuspectRecorder(
      SuspectLedger ledger,
      SuspectTable table,
      BooleanSupplier coordinator,
      Executor eventLoop,
      Time time) {
    this.ledger = ledger;
    this.table = table;
    this.coordinator = coordinator;
    this.time = time;
    this.writer = new RowWriter<>(eventLoop, time, SuspectRecorder::logFailure);
  }

  /**
   * Records that this node has observed the crash of a backend that ran a request, or has cleared
   * the request, so that this node writes its row at once.
   */
  void markSeenLocally(RequestFingerprint fingerprint) {
    seenLocally.add(fingerprint);
  }

  /**
   * Processes all rows of the store.
   *
   * @return rows that are new or changed since the previous reading; other rows are left out, so
   *     that suspects the ledger has dropped since are not restored from a row that has not been
   *     removed yet
   */
  List<Suspect> update(Collection<Suspect> rows) {
    Map<RequestFingerprint, Suspect> before = Map.copyOf(recorded);
    recorded.clear();
    rows.forEach(row -> recorded.put(row.fingerprint(), row));
    return rows.stream().filter(row -> !row.equals(before.get(row.fingerprint()))).toList();
  }

  /** Writes and removes the rows that are due; to be called periodically and after changes. */
  void tick() {
    long now = time.monotonicMillis();
    List<Suspect> known = ledger.all();
    seenLocally.removeIf(fingerprint -> ledger.find(fingerprint).isEmpty());
    findMissing(known, now);
    if (writer.isPaused(now)) {
      return;
    }
    for (Missing each : List.copyOf(missing.values())) {
      if (now - each.sinceMillis() >= writeDelayOf(each.suspect().fingerprint())) {
        write(each.suspect());
      }
    }
    if (coordinator.getAsBoolean()) {
      removeUnneeded(now);
    }
  }

  private void findMissing(List<Suspect> known, long nowMillis) {
    Set<RequestFingerprint> found = new HashSet<>();
    int significant = (int) recorded.values().stream().filter(Suspect::isSignificant).count();
    for (Suspect suspect : known) {
      Suspect row = recorded.get(suspect.fingerprint());
      boolean wanted =
          row == null
              ? hasRoomFor(suspect, recorded.size() + found.size(), significant, nowMillis)
              : !row.includes(suspect) && !needsNoUpdate(suspect, row);
      if (wanted) {
        significant += row == null && suspect.isSignificant() ? 1 : 0;
        found.add(suspect.fingerprint());
        Missing before = missing.get(suspect.fingerprint());
        long since = before == null ? nowMillis : before.sinceMillis();
        missing.put(suspect.fingerprint(), new Missing(suspect, since));
      }
    }
    missing.keySet().retainAll(found);
  }

  private boolean hasRoomFor(Suspect suspect, int rows, int significantRows, long nowMillis) {
    int weight = suspect.weight();
    if (weight >= SuspectLedger.QUARANTINE_WEIGHT) {
      return rows < MAX_ROWS;
    }
    if (weight >= SuspectLedger.SIGNIFICANT_WEIGHT) {
      return significantRows < MAX_SIGNIFICANT_ROWS;
    }
    return weight >= SuspectLedger.SINGLE_CRASH_WEIGHT
        && rows < MAX_SINGLE_CRASH_ROWS
        && ageOf(suspect.fingerprint(), nowMillis) < SINGLE_CRASH_WRITE_MILLIS;
  }

  private long ageOf(RequestFingerprint fingerprint, long nowMillis) {
    return nowMillis - ledger.lastCrashAtMillis(fingerprint);
  }

  /**
   * Returns whether a retracted single crash needs no separate write; its row is removed with the
   * others that are no longer needed.
   */
  private static boolean needsNoUpdate(Suspect suspect, Suspect row) {
    return suspect.weight() == 0 && !row.isSignificant();
  }

  private long writeDelayOf(RequestFingerprint fingerprint) {
    if (seenLocally.contains(fingerprint)) {
      return 0;
    }
    return coordinator.getAsBoolean() ? COORDINATOR_DELAY_MILLIS : OTHERS_DELAY_MILLIS;
  }

  private void write(Suspect suspect) {
    writer.change(
        suspect.fingerprint(),
        () -> table.record(suspect),
        () -> recorded.put(suspect.fingerprint(), suspect));
  }

  private static void logFailure(RequestFingerprint fingerprint, Throwable failure) {
    Logger.info(
        "event=suspect-not-recorded fingerprint={} cause={}", fingerprint, failure.getMessage());
  }

  /** Removes rows that are no longer needed or whose suspects the ledger has dropped. */
  private void removeUnneeded(long nowMillis) {
    Predicate<RequestFingerprint> isNeeded =
        fingerprint ->
            ledger.find(fingerprint).filter(known -> isNeeded(known, nowMillis)).isPresent();
    for (RequestFingerprint fingerprint : unneeded.due(recorded.keySet(), isNeeded, nowMillis)) {
      writer.change(
          fingerprint, () -> table.remove(fingerprint), () -> recorded.remove(fingerprint));
    }
  }

  private boolean isNeeded(Suspect suspect, long nowMillis) {
    return suspect.weight() > 0
        && (suspect.isSignificant()
            || ageOf(suspect.fingerprint(), nowMillis) < SINGLE_CRASH_ROW_MILLIS);
  }
}
