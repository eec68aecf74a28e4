package org.lockdale.gateway.quarantine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.table.TableRowChange;

/**
 * Port of the rows in which the nodes of a deployment keep the requests that are suspected most, so
 * that nodes which start, or were cut off, know them. Futures fail with a table service exception.
 */
public interface SuspectTable {

  /** Records a suspect in place of what was recorded of it before. */
  CompletableFuture<@Nullable Void> record(Suspect suspect);

  /** Removes what is recorded of a request. */
  CompletableFuture<@Nullable Void> remove(RequestFingerprint fingerprint);

  /**
   * Reads a suspect; empty where the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if it can't be read
   */
  Optional<Suspect> suspect(TableRowChange row);

  /** Records that a suspected request is being sent to a back end. */
  CompletableFuture<@Nullable Void> recordAttempt(SuspectAttempt attempt);

  /** Removes what is recorded of an attempt. */
  CompletableFuture<@Nullable Void> removeAttempt(SuspectAttempt attempt);

  /**
   * Reads an attempt of a suspected request; empty where the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if it can't be read
   */
  Optional<SuspectAttempt> attempt(TableRowChange row);
}
