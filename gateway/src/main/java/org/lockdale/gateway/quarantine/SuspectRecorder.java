package org.lockdale.gateway.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Keeps the rows of the requests that are suspected most in step with the ledger. Who saw an end
 * records it at once; what nobody has recorded after a while is recorded by the coordinating relay,
 * and later by any node, so that it is there when the store is back, whatever became of the others.
 * Two nodes may replace each other's row; who finds less in it than it knows writes it again. Runs
 * on one event loop.
 */
final class SuspectRecorder {

  /** The node that saw the end writes within this time, unless the store fails it. */
  private static final long COORDINATOR_WAIT_MILLIS = 400;

  /** Less than the contact time of the deployments, three seconds, by the time of a reading. */
  private static final long OTHERS_WAIT_MILLIS = 1_200;

  /** A store that is back is written to within this time. */
  private static final long RETRY_MILLIS = 500;

  /** Rows that say nothing any more are removed once all nodes have read them. */
  private static final long REMOVE_AFTER_MILLIS = 15_000;

  /**
   * Rows of requests with a first end, as long as no more is known of them. Servers end with some
   * twenty requests each, of which a few had no answer yet.
   */
  private static final int MAX_FIRST_ROWS = 32;

  /** A row of a first end is removed then; the same request ends servers again within seconds. */
  private static final long FIRST_ROW_MILLIS = 30_000;

  /** Less than a row stands, so that none is written again that was just removed. */
  private static final long FIRST_WRITE_MILLIS = 20_000;

  /**
   * Rows of requests that are not held back yet. While servers end all the time many innocent
   * requests come to two ends, and each row is a call of the store and is read by all nodes.
   */
  private static final int MAX_WATCHED_ROWS = 32;

  /** Rows in all: a caller may make ever new requests that end servers. */
  private static final int MAX_ROWS = 256;

  private record Missing(Suspect suspect, long sinceMillis) {}

  private final SuspectLedger ledger;
  private final SuspectTable table;
  private final BooleanSupplier coordinator;
  private final Executor eventLoop;
  private final Time time;
  private final Set<RequestFingerprint> seenLocally = new HashSet<>();
  private final Map<RequestFingerprint, Suspect> recorded = new HashMap<>();
  private final Map<RequestFingerprint, Missing> missing = new HashMap<>();
  private final Map<RequestFingerprint, Long> idleSince = new HashMap<>();
  private final Set<RequestFingerprint> writing = new HashSet<>();
  private long retryAtMillis = Long.MIN_VALUE;
  private boolean failing;

  SuspectRecorder(
      SuspectLedger ledger,
      SuspectTable table,
      BooleanSupplier coordinator,
      Executor eventLoop,
      Time time) {
    this.ledger = ledger;
    this.table = table;
    this.coordinator = coordinator;
    this.eventLoop = eventLoop;
    this.time = time;
  }

  /** Notes that this node has seen a back end end under a request, or has forgiven it. */
  void markSeenLocally(RequestFingerprint fingerprint) {
    seenLocally.add(fingerprint);
  }

  /**
   * Takes in all rows.
   *
   * @return those that were not there, or otherwise, at the last reading; what the ledger has
   *     forgotten since must not come back from a row that nobody has removed yet
   */
  List<Suspect> update(Collection<Suspect> rows) {
    Map<RequestFingerprint, Suspect> before = Map.copyOf(recorded);
    recorded.clear();
    rows.forEach(row -> recorded.put(row.fingerprint(), row));
    return rows.stream().filter(row -> !row.equals(before.get(row.fingerprint()))).toList();
  }

  /** Writes and removes what is due; to be called from time to time and after news. */
  void tick() {
    long now = time.monotonicMillis();
    List<Suspect> known = ledger.all();
    seenLocally.removeIf(fingerprint -> ledger.find(fingerprint).isEmpty());
    findMissing(known, now);
    if (now < retryAtMillis) {
      return;
    }
    for (Missing each : List.copyOf(missing.values())) {
      if (now - each.sinceMillis() >= waitOf(each.suspect().fingerprint())) {
        write(each.suspect());
      }
    }
    if (coordinator.getAsBoolean()) {
      removeIdle(now);
    }
  }

  private void findMissing(List<Suspect> known, long nowMillis) {
    Set<RequestFingerprint> found = new HashSet<>();
    int watched = (int) recorded.values().stream().filter(SuspectRecorder::isWatched).count();
    for (Suspect suspect : known) {
      Suspect row = recorded.get(suspect.fingerprint());
      boolean wanted =
          row == null
              ? hasRoomFor(suspect, recorded.size() + found.size(), watched, nowMillis)
              : !row.includes(suspect) && !isIdle(suspect, row);
      if (wanted) {
        watched += row == null && isWatched(suspect) ? 1 : 0;
        found.add(suspect.fingerprint());
        Missing before = missing.get(suspect.fingerprint());
        long since = before == null ? nowMillis : before.sinceMillis();
        missing.put(suspect.fingerprint(), new Missing(suspect, since));
      }
    }
    missing.keySet().retainAll(found);
  }

  private boolean hasRoomFor(Suspect suspect, int rows, int watchedRows, long nowMillis) {
    int weight = suspect.weight();
    if (weight >= SuspectLedger.QUARANTINE_WEIGHT) {
      return rows < MAX_ROWS;
    }
    if (weight >= SuspectLedger.WATCHED_WEIGHT) {
      return watchedRows < MAX_WATCHED_ROWS;
    }
    return weight >= SuspectLedger.SINGLE_CRASH_WEIGHT
        && rows < MAX_FIRST_ROWS
        && ageOf(suspect.fingerprint(), nowMillis) < FIRST_WRITE_MILLIS;
  }

  private long ageOf(RequestFingerprint fingerprint, long nowMillis) {
    return nowMillis - ledger.lastCrashAtMillis(fingerprint);
  }

  private static boolean isWatched(Suspect suspect) {
    return suspect.weight() >= SuspectLedger.WATCHED_WEIGHT;
  }

  /** A first end that is taken back needs no call of its own; its row goes with the others. */
  private static boolean isIdle(Suspect suspect, Suspect row) {
    return suspect.weight() == 0 && !isWatched(row);
  }

  private long waitOf(RequestFingerprint fingerprint) {
    if (seenLocally.contains(fingerprint)) {
      return 0;
    }
    return coordinator.getAsBoolean() ? COORDINATOR_WAIT_MILLIS : OTHERS_WAIT_MILLIS;
  }

  private void write(Suspect suspect) {
    if (!writing.add(suspect.fingerprint())) {
      return;
    }
    table
        .record(suspect)
        .whenCompleteAsync(
            (done, failure) -> {
              if (failure == null) {
                recorded.put(suspect.fingerprint(), suspect);
              }
              concluded(suspect.fingerprint(), failure);
            },
            eventLoop);
  }

  private void concluded(RequestFingerprint fingerprint, @Nullable Throwable failure) {
    writing.remove(fingerprint);
    if (failure != null) {
      retryAtMillis = time.monotonicMillis() + RETRY_MILLIS;
      if (!failing) {
        Logger.info(
            "event=suspect-not-recorded fingerprint={} cause={}",
            fingerprint,
            failure.getMessage());
      }
    }
    failing = failure != null;
  }

  /** Rows that say nothing any more, or that the ledger has forgotten. */
  private void removeIdle(long nowMillis) {
    for (RequestFingerprint fingerprint : List.copyOf(recorded.keySet())) {
      Optional<Suspect> known = ledger.find(fingerprint);
      if (known.isPresent() && isNeeded(known.get(), nowMillis)) {
        idleSince.remove(fingerprint);
        continue;
      }
      long since = idleSince.computeIfAbsent(fingerprint, key -> nowMillis);
      if (nowMillis - since >= REMOVE_AFTER_MILLIS && writing.add(fingerprint)) {
        table
            .remove(fingerprint)
            .whenCompleteAsync((done, failure) -> removed(fingerprint, failure), eventLoop);
      }
    }
    idleSince.keySet().retainAll(recorded.keySet());
  }

  private boolean isNeeded(Suspect suspect, long nowMillis) {
    return suspect.weight() > 0
        && (isWatched(suspect) || ageOf(suspect.fingerprint(), nowMillis) < FIRST_ROW_MILLIS);
  }

  private void removed(RequestFingerprint fingerprint, @Nullable Throwable failure) {
    if (failure == null) {
      recorded.remove(fingerprint);
    }
    concluded(fingerprint, failure);
  }
}
