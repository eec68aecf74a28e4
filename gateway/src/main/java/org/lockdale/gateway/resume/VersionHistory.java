package org.lockdale.gateway.resume;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.table.StoreClock;

/**
 * The software versions that are recorded in the shared store, and which records are due. A backend
 * serves only once its version is recorded, so that every version at which a stream may have begun
 * is known to a node that starts later. Without I/O; changed on one event loop, read by any thread.
 */
public final class VersionHistory {

  /**
   * Time after which a backend serves although its version can't be recorded. A store that rejects
   * writes must not keep new backends from serving.
   */
  static final long MAX_UNRECORDED_MILLIS = 2_000;

  /** Time for which the record of a version that has gone is kept, so that its removal is rare. */
  static final long RECORD_RETENTION_MILLIS = 3_600_000;

  /** Backends' records may lapse for a moment without the backends having ended. */
  static final long ABSENCE_MILLIS = 5_000;

  /** Time within which a written record stands in every later read of the cluster table. */
  private static final long MAX_READ_DELAY_MILLIS = 3_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private record OwnWrite(RecordedVersion record, long atMillis) {}

  private final StoreClock clock;
  private final Time time;

  /** Versions in the backends' table, with the time at which each was first seen there. */
  private final Map<StreamOrigin, Long> presentSince = new HashMap<>();

  /**
   * Recorded versions that are not in the backends' table, with the time of their first absence.
   */
  private final Map<StreamOrigin, Long> absentSince = new HashMap<>();

  /** Records that this node has just written, which a read under way may lack. */
  private final Map<StreamOrigin, OwnWrite> ownWrites = new HashMap<>();

  private boolean isRead;
  private volatile Map<StreamOrigin, RecordedVersion> records = Map.of();
  private volatile long provenAtMillis = NEVER;

  /**
   * Creates an empty history.
   *
   * @param clock converts between the store's clock and the clock of this node
   * @param time clock of this node
   */
  public VersionHistory(StoreClock clock, Time time) {
    this.clock = clock;
    this.time = time;
  }

  /**
   * Processes all records of versions in the cluster table.
   *
   * @return whether they differ from the known ones
   */
  public boolean onRecords(Collection<RecordedVersion> rows) {
    Map<StreamOrigin, RecordedVersion> read = new HashMap<>();
    rows.forEach(row -> read.put(row.version(), row));
    long now = time.monotonicMillis();
    ownWrites.values().removeIf(write -> now - write.atMillis() > MAX_READ_DELAY_MILLIS);
    ownWrites.values().forEach(write -> read.put(write.record().version(), write.record()));
    boolean changed = !isRead || !read.equals(records);
    records = Map.copyOf(read);
    isRead = true;
    return changed;
  }

  /** Processes a proof that the records were current at a monotonic time. */
  public void onProof(long atMillis) {
    provenAtMillis = Math.max(provenAtMillis, atMillis);
  }

  /** Processes a record that this node has written. */
  public void onWritten(RecordedVersion written) {
    ownWrites.put(written.version(), new OwnWrite(written, time.monotonicMillis()));
    Map<StreamOrigin, RecordedVersion> changed = new HashMap<>(records);
    changed.put(written.version(), written);
    records = Map.copyOf(changed);
  }

  /** Processes all records of the backends' table. */
  public void onBackends(Collection<Backend> backends) {
    long now = time.monotonicMillis();
    Set<StreamOrigin> present = new HashSet<>();
    for (Backend backend : backends) {
      present.add(versionOf(backend));
    }
    presentSince.keySet().retainAll(present);
    absentSince.keySet().removeAll(present);
    present.forEach(version -> presentSince.putIfAbsent(version, now));
  }

  private static StreamOrigin versionOf(Backend backend) {
    return new StreamOrigin(backend.pool(), backend.softwareVersion());
  }

  /**
   * Returns whether a backend may serve: its version is recorded, or could not be for long and the
   * pool has no backend of a recorded one.
   */
  boolean mayServe(Backend backend) {
    StreamOrigin version = versionOf(backend);
    Long since = presentSince.get(version);
    return isRecorded(version)
        || (since != null
            && time.monotonicMillis() - since >= MAX_UNRECORDED_MILLIS
            && !hasRecordedBackend(version.pool()));
  }

  /**
   * Returns the backends that may serve. One that is in use goes on, also if the store has lost the
   * record of its version, which is then written again.
   */
  public List<Backend> selectServing(List<Backend> backends, Predicate<Backend> inUse) {
    return backends.stream().filter(backend -> inUse.test(backend) || mayServe(backend)).toList();
  }

  private boolean hasRecordedBackend(String pool) {
    return presentSince.keySet().stream()
        .anyMatch(version -> version.pool().equals(pool) && isRecorded(version));
  }

  /** Returns whether a version is recorded as one that backends run. */
  boolean isRecorded(StreamOrigin version) {
    RecordedVersion record = records.get(version);
    return record != null && record.isPresent();
  }

  /** Returns whether a backend is held back since its version is not known to be recorded. */
  public boolean isHoldingBack() {
    return !presentSince.keySet().stream().allMatch(this::isRecorded);
  }

  /**
   * Returns the versions in the backends' table that are not recorded, with the time of each one's
   * first appearance; none before the records were read.
   */
  Map<StreamOrigin, Long> unrecorded() {
    if (!isRead) {
      return Map.of();
    }
    Map<StreamOrigin, Long> unrecorded = new HashMap<>(presentSince);
    unrecorded.keySet().removeIf(this::isRecorded);
    return unrecorded;
  }

  /**
   * Returns the records of versions that no backend runs any more and that are not yet marked so.
   * To be called only while the backends' table is proven recent.
   */
  List<RecordedVersion> newlyGone() {
    long now = time.monotonicMillis();
    List<RecordedVersion> gone = new ArrayList<>();
    absentSince.keySet().retainAll(records.keySet());
    absentSince.keySet().removeAll(presentSince.keySet());
    for (RecordedVersion record : records.values()) {
      StreamOrigin version = record.version();
      if (!record.isPresent() || presentSince.containsKey(version)) {
        continue;
      }
      if (now - absentSince.computeIfAbsent(version, first -> now) >= ABSENCE_MILLIS) {
        gone.add(RecordedVersion.gone(version, clock.storeMillis(now)));
      }
    }
    return gone;
  }

  /** Returns the versions whose record may be removed. */
  List<StreamOrigin> expired() {
    return records.values().stream()
        .filter(record -> hasBeenGoneFor(RECORD_RETENTION_MILLIS, record))
        .map(RecordedVersion::version)
        .filter(version -> !presentSince.containsKey(version))
        .toList();
  }

  private boolean hasBeenGoneFor(long millis, RecordedVersion record) {
    long storeNow = clock.storeMillis(time.monotonicMillis());
    return !record.isPresent() && storeNow - record.goneAtStoreMillis().getAsLong() > millis;
  }

  /**
   * Returns the recorded versions at which streams of a pool may have begun that callers may still
   * take up; empty if the records are not proven recent.
   *
   * @param maxAgeMillis age beyond which the records may lack one
   */
  Optional<Set<String>> versionsOf(String pool, long maxAgeMillis) {
    return time.monotonicMillis() - provenAtMillis > maxAgeMillis
        ? Optional.empty()
        : Optional.of(versionsOf(pool, records.values()));
  }

  /** Returns the versions among some records at which streams of a pool may have begun. */
  Set<String> versionsOf(String pool, Collection<RecordedVersion> rows) {
    return rows.stream()
        .filter(record -> record.version().pool().equals(pool))
        .filter(record -> !hasBeenGoneFor(OriginTable.RETENTION_MILLIS, record))
        .map(record -> record.version().softwareVersion())
        .collect(Collectors.toSet());
  }
}
