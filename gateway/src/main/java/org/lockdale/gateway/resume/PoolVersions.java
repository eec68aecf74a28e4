package org.lockdale.gateway.resume;

import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.lockdale.coordination.blackboard.Snapshot;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * The software versions of each pool's backends, now and for as long back as a stream may have
 * begun: those that this process has seen, and those that the store's records tell from before its
 * start. Thread-safe.
 */
public final class PoolVersions {

  private final Supplier<Snapshot<BackendTable>> backends;
  private final VersionHistory history;
  private final long maxAgeMillis;
  private final Time time;
  private final long startedAtMillis;
  private final Map<StreamOrigin, Long> lastSeenMillis = new ConcurrentHashMap<>();

  /**
   * Creates an instance.
   *
   * @param backends supplies the backends' table
   * @param history versions that are recorded in the store
   * @param maxAgeMillis age beyond which the table or the records may lack a version that other
   *     nodes know
   * @param time clock
   */
  public PoolVersions(
      Supplier<Snapshot<BackendTable>> backends,
      VersionHistory history,
      long maxAgeMillis,
      Time time) {
    this.backends = backends;
    this.history = history;
    this.maxAgeMillis = maxAgeMillis;
    this.time = time;
    this.startedAtMillis = time.monotonicMillis();
  }

  /** Records the versions in the table; to be called periodically. */
  public void tick() {
    long now = time.monotonicMillis();
    for (TrackedBackend tracked : backends.get().value().all()) {
      lastSeenMillis.put(versionOf(tracked), now);
    }
    lastSeenMillis.values().removeIf(seen -> now - seen > OriginTable.RETENTION_MILLIS);
  }

  private static StreamOrigin versionOf(TrackedBackend tracked) {
    return new StreamOrigin(tracked.backend().pool(), tracked.backend().softwareVersion());
  }

  /** Returns whether the backends' table is proven recent. */
  public boolean isTableCurrent() {
    return backends.get().ageMillis(time.monotonicMillis()) <= maxAgeMillis;
  }

  /**
   * Returns the software version of a pool if it has only one, which is recorded, and had no other
   * one for as long as a stream may last; empty also where the table or the records are not proven
   * recent.
   */
  public Optional<String> soleVersion(String pool) {
    return history.versionsOf(pool, maxAgeMillis).flatMap(recorded -> soleVersion(pool, recorded));
  }

  /**
   * Returns the same by records that were just read, so that no version is missed which came a
   * moment ago.
   */
  Optional<String> soleVersion(String pool, Collection<RecordedVersion> records) {
    return soleVersion(pool, history.versionsOf(pool, records));
  }

  private Optional<String> soleVersion(String pool, Set<String> recorded) {
    boolean isSole = recorded.size() == 1 && recorded.containsAll(seenVersions(pool));
    return isSole && isTableCurrent() ? recorded.stream().findFirst() : Optional.empty();
  }

  /** Returns the versions in the table and those that this process has seen recently. */
  private Set<String> seenVersions(String pool) {
    long now = time.monotonicMillis();
    Set<String> versions = new HashSet<>();
    for (TrackedBackend tracked : backends.get().value().ofPool(pool)) {
      versions.add(tracked.backend().softwareVersion());
    }
    lastSeenMillis.forEach(
        (version, seen) -> {
          if (version.pool().equals(pool) && now - seen <= OriginTable.RETENTION_MILLIS) {
            versions.add(version.softwareVersion());
          }
        });
    return versions;
  }

  /** Describes what is known of the versions of a pool, for a log. */
  String describe(String pool) {
    return "seen="
        + new TreeSet<>(seenVersions(pool))
        + " recorded="
        + history.versionsOf(pool, maxAgeMillis).map(TreeSet::new).map(Set::toString).orElse("?")
        + " observed-ms="
        + (time.monotonicMillis() - startedAtMillis);
  }
}
