package org.lockdale.gateway.quarantine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.table.TableRowChange;

/**
 * Port to the rows of the shared store in which the nodes of a deployment claim the trials of
 * quarantined requests. Futures fail with a table service exception.
 */
public interface TrialTable {

  /**
   * Records a claim, unless a trial of the request with the same number has been claimed; fails
   * with the kind {@code CONDITION_FAILED} then. After any other failure the claim may have been
   * recorded, or may still be.
   */
  CompletableFuture<@Nullable Void> claimTrial(TrialClaim claim);

  /** Removes a claim. */
  CompletableFuture<@Nullable Void> removeTrial(TrialClaim claim);

  /**
   * Reads a claim from a row; empty if the row is of another kind.
   *
   * @throws org.lockdale.gateway.table.MalformedRecordException if it can't be read
   */
  Optional<TrialClaim> readTrial(TableRowChange row);
}
