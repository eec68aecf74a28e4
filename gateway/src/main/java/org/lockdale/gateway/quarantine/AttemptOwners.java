package org.lockdale.gateway.quarantine;

import java.util.concurrent.CompletableFuture;

/** Port to the other nodes, which know the state of the attempts that they have recorded. */
@FunctionalInterface
public interface AttemptOwners {

  /**
   * Asks the node that recorded an attempt whether it is in progress. The future completes with
   * false if that node has restarted since or doesn't respond; it doesn't fail.
   */
  CompletableFuture<Boolean> isInProgress(SuspectAttempt attempt);
}
