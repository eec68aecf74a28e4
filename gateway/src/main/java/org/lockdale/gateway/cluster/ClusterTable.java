package org.lockdale.gateway.cluster;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.limit.KeptLevels;
import org.lockdale.gateway.limit.KeptLevelsReading;
import org.lockdale.gateway.table.TableRowChange;

/**
 * Port of the shared table in which the nodes of a deployment publish their addresses and the
 * information that a starting node cannot get otherwise. Futures fail with a table service
 * exception.
 */
public interface ClusterTable {

  /** Returns the name of the table. */
  String table();

  /** Writes the address of this node. */
  CompletableFuture<@Nullable Void> announce(PeerNode node);

  /**
   * Writes the times at which the target versions of a model were set; replaces the earlier row of
   * the model.
   */
  CompletableFuture<@Nullable Void> writeTargetVersions(RecordedTargetVersions versions);

  /** Reads the row of the stored levels of tenants' limits. */
  CompletableFuture<KeptLevelsReading> readLevels();

  /**
   * Replaces the row of the stored levels of tenants' limits; fails if the row has another version.
   *
   * @param levels the new row
   * @param expectedVersion version that the row must have, as read or written before
   */
  CompletableFuture<KeptLevelsReading> writeLevels(KeptLevels levels, long expectedVersion);

  /**
   * Parses the row with the target versions of a model; empty if the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if the row is malformed
   */
  Optional<RecordedTargetVersions> parseTargetVersions(TableRowChange row);

  /**
   * Parses the row with the address of a node; empty if the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if the row is malformed
   */
  Optional<PeerNode> parseNode(TableRowChange row);
}
