package org.lockdale.gateway.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.Incarnation;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.life.LivenessEvidence;

/**
 * Records in the shared store to which backends suspect requests are being sent. Each attempt has a
 * row of its own, from before it is sent until its outcome is known. If a node is killed before
 * that, the row remains. An attempt that was lost, or whose node is not known to run, is unresolved
 * until it is known whether the backend crashed; once the incarnation that it was sent to is known
 * to have ended, it counts as a crash of the backend while it ran the request. Runs on one event
 * loop.
 */
final class AttemptJournal {

  /**
   * Maximum number of attempts of this node that are recorded at the same time; further ones are
   * not recorded.
   */
  private static final int MAX_IN_FLIGHT = 32;

  /**
   * The same for attempts of significant suspects, so that the many requests which a single crash
   * makes suspects leave room for them.
   */
  private static final int MAX_SIGNIFICANT_IN_FLIGHT = 64;

  /**
   * How long the row of a lost attempt is kept. The attempt may have been running when its backend
   * crashed; after this time it is known whether the backend crashed.
   */
  private static final long UNKNOWN_RETENTION_MILLIS = 10_000;

  /** The same if its node has reported it; the record of the suspect is written by then. */
  private static final long REPORTED_RETENTION_MILLIS = 2_500;

  /** Delay before a row that the store did not take is written again. */
  private static final long RETRY_MILLIS = 500;

  /** How long a row is kept if its node does not remove it. */
  private static final long ORPHAN_RETENTION_MILLIS = 30_000;

  /**
   * An incarnation counts as ended if, this long after the row of the attempt was first read, no
   * incarnation of its server has a record.
   */
  private static final long MISSING_RECORD_MILLIS = 5_000;

  /** Maximum number of questions in progress, since a crash may leave many suspects. */
  private static final int MAX_QUESTIONS = 16;

  /**
   * Time after its row was read within which an attempt is resolved: by the record of its backend
   * at the latest, while the store is available.
   */
  private static final long RESOLUTION_MILLIS =
      LivenessEvidence.RECORD_EXPIRY_MILLIS + CrashDetector.OUTLIVED_MILLIS;

  /** The row of an attempt of this process. */
  private static final class OwnRow {
    private boolean inProgress = true;
    private boolean written;
    private boolean writing;
    private long writeAgainAtMillis;

    private AttemptOutcome outcome = AttemptOutcome.NOT_LOST;

    /** Monotonic time at which the attempt started, or was concluded if it has been. */
    private long sinceMillis;

    OwnRow(long startedAtMillis) {
      this.sinceMillis = startedAtMillis;
    }

    boolean isDue(long nowMillis) {
      return !inProgress && !writing && nowMillis - sinceMillis >= retentionMillis();
    }

    private long retentionMillis() {
      return switch (outcome) {
        case NOT_LOST -> 0;
        case REPORTED -> REPORTED_RETENTION_MILLIS;
        case UNKNOWN -> UNKNOWN_RETENTION_MILLIS;
      };
    }

    boolean isUnknown() {
      return outcome == AttemptOutcome.UNKNOWN;
    }
  }

  private final SuspectTable table;
  private final AttemptIds ids;
  private final Executor eventLoop;
  private final Time time;

  private final Map<SuspectAttempt, OwnRow> own = new LinkedHashMap<>();

  /** Rows of other nodes, or of earlier processes of this one. */
  private final Map<SuspectAttempt, ForeignAttempt> foreign = new LinkedHashMap<>();

  private boolean tableRead;

  /** Rows whose removal is in progress. */
  private final Set<SuspectAttempt> removing = new HashSet<>();

  AttemptJournal(SuspectTable table, AttemptIds ids, Executor eventLoop, Time time) {
    this.table = table;
    this.ids = ids;
    this.eventLoop = eventLoop;
    this.time = time;
  }

  /**
   * Records that an attempt is about to be sent.
   *
   * @param significant whether the next crash may quarantine its request
   */
  void recordStart(SuspectAttempt attempt, boolean significant) {
    long inFlight = own.values().stream().filter(row -> row.inProgress).count();
    if (inFlight >= (significant ? MAX_SIGNIFICANT_IN_FLIGHT : MAX_IN_FLIGHT)) {
      return;
    }
    OwnRow row = new OwnRow(time.monotonicMillis());
    own.put(attempt, row);
    write(attempt, row);
  }

  private void write(SuspectAttempt attempt, OwnRow row) {
    row.writing = true;
    table
        .recordAttempt(attempt)
        .whenCompleteAsync(
            (done, failure) -> {
              row.writing = false;
              row.written = failure == null;
              row.writeAgainAtMillis = time.monotonicMillis() + RETRY_MILLIS;
              removeDue();
            },
            eventLoop);
  }

  /** Records that an attempt has been concluded. */
  void recordConclusion(SuspectAttempt attempt, AttemptOutcome outcome) {
    OwnRow row = own.get(attempt);
    if (row == null || !row.inProgress) {
      return;
    }
    row.inProgress = false;
    row.outcome = outcome;
    row.sinceMillis = time.monotonicMillis();
    removeDue();
  }

  /** Returns whether this process has an attempt on record and accounts for its outcome. */
  boolean isInProgress(String id) {
    return own.entrySet().stream()
        .anyMatch(each -> each.getKey().id().equals(id) && !each.getValue().isUnknown());
  }

  /** Processes all rows of the store. */
  void update(Collection<SuspectAttempt> rows) {
    foreign.keySet().retainAll(new HashSet<>(rows));
    long now = time.monotonicMillis();
    for (SuspectAttempt row : rows) {
      if (!ids.isOfThisProcess(row.id())) {
        // A process that has just started may have missed the notification of a crash.
        boolean inProgress = tableRead && !ids.isOfThisNode(row.id());
        foreign.computeIfAbsent(row, key -> new ForeignAttempt(now, inProgress));
      }
    }
    tableRead = true;
  }

  /**
   * Asks the nodes that recorded attempts of some requests, or on backends that have ended, whether
   * these are still in progress, those first that have waited longest.
   *
   * @param requests the requests
   * @param owners the other nodes
   * @param onChange called if {@link #unresolved} changes
   */
  void askOwners(Set<RequestFingerprint> requests, AttemptOwners owners, Runnable onChange) {
    long now = time.monotonicMillis();
    long asking = foreign.values().stream().filter(ForeignAttempt::isAsking).count();
    foreign.entrySet().stream()
        .filter(
            each ->
                requests.contains(each.getKey().fingerprint()) || each.getValue().hasUncountedEnd())
        .filter(each -> !ids.isOfThisNode(each.getKey().id()))
        .filter(each -> !each.getValue().isAsking() && each.getValue().askAtMillis() <= now)
        .sorted(Comparator.comparingLong(each -> each.getValue().askAtMillis()))
        .limit(Math.max(0, MAX_QUESTIONS - asking))
        .toList()
        .forEach(each -> ask(each.getKey(), each.getValue(), owners, onChange));
  }

  private void ask(
      SuspectAttempt attempt, ForeignAttempt state, AttemptOwners owners, Runnable onChange) {
    state.recordQuestion();
    owners
        .isInProgress(attempt)
        .thenAcceptAsync(
            inProgress -> {
              if (state.recordAnswer(inProgress, time.monotonicMillis())) {
                onChange.run();
              }
            },
            eventLoop);
  }

  /**
   * Returns the unresolved attempts, by request: those that were lost or whose nodes are not known
   * to run, on backends that have not been known to be alive since.
   *
   * @param lastAliveAtMillis returns the latest monotonic time at which a backend is known to have
   *     been alive
   */
  Map<RequestFingerprint, UnresolvedAttempts> unresolved(ToLongFunction<String> lastAliveAtMillis) {
    return unresolved(lastAliveAtMillis, true);
  }

  /**
   * Returns the attempts that would be unresolved, by request, if none of them were in progress.
   *
   * @param lastAliveAtMillis see {@link #unresolved}
   */
  Map<RequestFingerprint, UnresolvedAttempts> possiblyUnresolved(
      ToLongFunction<String> lastAliveAtMillis) {
    return unresolved(lastAliveAtMillis, false);
  }

  private Map<RequestFingerprint, UnresolvedAttempts> unresolved(
      ToLongFunction<String> lastAliveAtMillis, boolean onlyIfLost) {
    Map<RequestFingerprint, UnresolvedAttempts> unresolved = new HashMap<>();
    long now = time.monotonicMillis();
    own.forEach(
        (attempt, row) -> {
          if (row.isUnknown()
              && !hasOutlived(attempt.backend(), row.sinceMillis, lastAliveAtMillis)) {
            add(attempt, row.sinceMillis, unresolved);
          }
        });
    foreign.forEach(
        (attempt, row) -> {
          long since = row.unknownSinceMillis();
          boolean counts = !row.isInProgress() || !onlyIfLost;
          boolean isRecent = now - since < ORPHAN_RETENTION_MILLIS;
          if (counts && isRecent && !hasOutlived(attempt.backend(), since, lastAliveAtMillis)) {
            add(attempt, since, unresolved);
          }
        });
    return unresolved;
  }

  private static boolean hasOutlived(
      String backend, long sinceMillis, ToLongFunction<String> lastAliveAtMillis) {
    return lastAliveAtMillis.applyAsLong(backend) > sinceMillis + CrashDetector.OUTLIVED_MILLIS;
  }

  private static void add(
      SuspectAttempt attempt,
      long sinceMillis,
      Map<RequestFingerprint, UnresolvedAttempts> unresolved) {
    UnresolvedAttempts added =
        new UnresolvedAttempts(
            attempt.fingerprint(),
            attempt.sketch(),
            Set.of(attempt.backend()),
            sinceMillis + RESOLUTION_MILLIS);
    unresolved.merge(attempt.fingerprint(), added, UnresolvedAttempts::merge);
  }

  /**
   * Returns attempts of other processes whose backends have ended, each attempt once; to be called
   * periodically.
   *
   * @param backends backends that have a record
   * @param lastAliveAtMillis see {@link #unresolved}
   */
  List<SuspectAttempt> takeCrashed(
      BackendTable backends, ToLongFunction<String> lastAliveAtMillis) {
    List<SuspectAttempt> crashed = new ArrayList<>();
    long now = time.monotonicMillis();
    foreign.forEach(
        (attempt, row) -> {
          if (!row.isInProgress()
              && hasOutlived(attempt.backend(), row.unknownSinceMillis(), lastAliveAtMillis)) {
            row.recordOutlived();
          }
          if (hasEnded(attempt.backend(), backends, row.readAtMillis())) {
            row.recordEnd(now);
          }
          if (row.takeCrash(now)) {
            crashed.add(attempt);
          }
        });
    return crashed;
  }

  /** Returns whether the backend of an attempt of another process is known to have outlived it. */
  boolean isOutlived(SuspectAttempt attempt) {
    ForeignAttempt state = foreign.get(attempt);
    return state != null && state.isOutlived();
  }

  private boolean hasEnded(String backendId, BackendTable backends, long firstReadAtMillis) {
    TrackedBackend tracked = backends.find(backendId);
    if (tracked != null) {
      return tracked.hasEnded();
    }
    Incarnation incarnation = Incarnation.parse(backendId);
    if (backends.resolve(incarnation.server()) != null) {
      return backends.isReplaced(incarnation);
    }
    boolean anyRecordRead = !backends.all().isEmpty();
    return anyRecordRead && time.monotonicMillis() - firstReadAtMillis >= MISSING_RECORD_MILLIS;
  }

  /**
   * Writes and removes rows that are due; to be called periodically.
   *
   * @param coordinator whether this node removes rows that other nodes have left behind
   */
  void tick(boolean coordinator) {
    long now = time.monotonicMillis();
    for (Map.Entry<SuspectAttempt, OwnRow> each : List.copyOf(own.entrySet())) {
      OwnRow row = each.getValue();
      boolean unwritten = !row.written && !row.writing && now >= row.writeAgainAtMillis;
      if (row.inProgress && unwritten) {
        write(each.getKey(), row);
      }
    }
    removeDue();
    if (coordinator) {
      for (Map.Entry<SuspectAttempt, ForeignAttempt> each : List.copyOf(foreign.entrySet())) {
        if (now - each.getValue().readAtMillis() >= ORPHAN_RETENTION_MILLIS) {
          remove(each.getKey());
        }
      }
    }
  }

  private void removeDue() {
    long now = time.monotonicMillis();
    for (Map.Entry<SuspectAttempt, OwnRow> each : List.copyOf(own.entrySet())) {
      if (each.getValue().isDue(now)) {
        remove(each.getKey());
      }
    }
  }

  private void remove(SuspectAttempt attempt) {
    if (!removing.add(attempt)) {
      return;
    }
    table
        .removeAttempt(attempt)
        .whenCompleteAsync(
            (@Nullable Void done, @Nullable Throwable failure) -> {
              removing.remove(attempt);
              if (failure == null) {
                own.remove(attempt);
                foreign.remove(attempt);
              }
            },
            eventLoop);
  }
}
