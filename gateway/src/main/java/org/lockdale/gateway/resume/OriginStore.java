package org.lockdale.gateway.resume;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.table.TableRowChange;

/**
 * Port to the rows of the shared store that tell where streams began, for the case that all nodes
 * which knew it are gone. Futures fail with a table service exception.
 */
public interface OriginStore {

  /** Writes the record of a software version into the cluster table. */
  CompletableFuture<@Nullable Void> writeVersion(RecordedVersion version);

  /** Removes the record of a software version from the cluster table. */
  CompletableFuture<@Nullable Void> removeVersion(StreamOrigin version);

  /** Reads all records of software versions from the store itself. */
  CompletableFuture<List<RecordedVersion>> readVersions();

  /**
   * Parses a row of the cluster table; empty if the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if the row is malformed
   */
  Optional<RecordedVersion> parseVersion(TableRowChange row);

  /**
   * Replaces a row of origins.
   *
   * @param key key of the row, unique among all nodes
   * @param origins origins of streams
   */
  CompletableFuture<@Nullable Void> writeOrigins(String key, Map<StreamId, StreamOrigin> origins);

  /** Reads the origins in all rows. */
  CompletableFuture<Map<StreamId, StreamOrigin>> readOrigins();
}
