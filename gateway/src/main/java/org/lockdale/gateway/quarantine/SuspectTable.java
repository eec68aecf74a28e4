package org.lockdale.gateway.quarantine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.quarantine.part.PartTable;
import org.lockdale.gateway.table.TableRowChange;

/**
 * Port to the rows of the shared store in which the nodes of a deployment keep the main suspects,
 * so that nodes that start, or were isolated, know them. Futures fail with a table service
 * exception.
 */
public interface SuspectTable extends PartTable, TrialTable {

  /** Records a suspect, replacing any earlier record of it. */
  CompletableFuture<@Nullable Void> record(Suspect suspect);

  /** Removes the record of a suspect. */
  CompletableFuture<@Nullable Void> remove(RequestFingerprint fingerprint);

  /**
   * Reads a suspect from a row; empty if the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if it can't be read
   */
  Optional<Suspect> readSuspect(TableRowChange row);

  /** Records that a suspect request is being sent to a backend. */
  CompletableFuture<@Nullable Void> recordAttempt(SuspectAttempt attempt);

  /** Removes the record of an attempt. */
  CompletableFuture<@Nullable Void> removeAttempt(SuspectAttempt attempt);

  /**
   * Reads an attempt of a suspect request from a row; empty if the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if it can't be read
   */
  Optional<SuspectAttempt> readAttempt(TableRowChange row);
}
