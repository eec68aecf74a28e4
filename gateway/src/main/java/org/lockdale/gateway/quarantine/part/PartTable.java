package org.lockdale.gateway.quarantine.part;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.table.TableRowChange;

/**
 * Port to the rows of the shared store in which the nodes of a deployment keep the prompt parts
 * that crash backends. Futures fail with a table service exception.
 */
public interface PartTable {

  /** Records a part, replacing any earlier record of it. */
  CompletableFuture<@Nullable Void> recordPart(PartSuspect suspect);

  /** Removes the record of a part. */
  CompletableFuture<@Nullable Void> removePart(PromptPartKey part);

  /**
   * Reads a part from a row; empty if the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if it can't be read
   */
  Optional<PartSuspect> readPart(TableRowChange row);
}
