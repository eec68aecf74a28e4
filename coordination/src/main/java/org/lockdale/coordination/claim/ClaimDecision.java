package org.lockdale.coordination.claim;

import org.lockdale.protocol.generated.ClaimRecord;

/** The result of an attempt to claim a request that must run at most once. */
public sealed interface ClaimDecision {

  /**
   * The attempt holds the claim and may be dispatched.
   *
   * @param claim the claim, to be ended with {@link RunOnceClaims#complete}, {@link
   *     RunOnceClaims#release} or {@link RunOnceClaims#markUnknown}
   */
  record Granted(HeldClaim claim) implements ClaimDecision {}

  /**
   * The request already ran and its response is stored.
   *
   * @param record the claim with the response
   */
  record AlreadyComplete(ClaimRecord record) implements ClaimDecision {}

  /**
   * Another attempt holds the claim and may be running.
   *
   * @param record the claim of the other attempt
   * @param rowVersion version of its row
   */
  record HeldByOther(ClaimRecord record, long rowVersion) implements ClaimDecision {}

  /**
   * The request may have run before, and its response is lost.
   *
   * @param record the claim of the earlier attempt
   */
  record OutcomeLost(ClaimRecord record) implements ClaimDecision {}

  /** The key was used before with a different request body. */
  record KeyReused() implements ClaimDecision {}
}
