package org.lockdale.gateway.resume;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.IntSupplier;
import org.lockdale.coordination.time.Time;

/**
 * Reads what nodes have stored of the origins of streams, which they may have done in an earlier
 * life of all of them.
 */
public final class OriginArchive {

  private final SharedRead<Map<StreamId, StreamOrigin>> origins;
  private final SharedRead<List<RecordedVersion>> versions;

  /**
   * Creates an archive.
   *
   * @param store store of the origins
   * @param nodes supplies the number of nodes, by which the reads are spread
   * @param executor runs the reads, in one thread
   * @param time clock
   */
  public OriginArchive(
      OriginStore store, IntSupplier nodes, ScheduledExecutorService executor, Time time) {
    this.origins = new SharedRead<>(store::readOrigins, nodes, executor, time);
    this.versions = new SharedRead<>(store::readVersions, nodes, executor, time);
  }

  /**
   * Finds the stored origin of a stream.
   *
   * @return the origin, or empty if it isn't stored or the store can't be read; the future doesn't
   *     fail
   */
  CompletableFuture<Optional<StreamOrigin>> find(StreamId id) {
    return origins.get().thenApply(read -> read.map(stored -> stored.get(id)));
  }

  /**
   * Reads the recorded versions.
   *
   * @return the records, or empty if the store can't be read; the future doesn't fail
   */
  CompletableFuture<Optional<List<RecordedVersion>>> versions() {
    return versions.get();
  }
}
