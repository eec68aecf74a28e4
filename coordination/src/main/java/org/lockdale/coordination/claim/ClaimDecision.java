package org.lockdale.coordination.claim;

import org.lockdale.protocol.generated.ClaimRecord;

/** What a node may do with a request that must run at most once. */
public sealed interface ClaimDecision {

  /**
   * The attempt holds the claim and may be dispatched.
   *
   * @param claim to be ended by {@link RunOnceClaims#complete} or {@link RunOnceClaims#release}
   */
  record Granted(HeldClaim claim) implements ClaimDecision {}

  /**
   * The request ran before and its answer is stored.
   *
   * @param record with the answer
   */
  record AlreadyComplete(ClaimRecord record) implements ClaimDecision {}

  /**
   * Another attempt holds the claim and may be running.
   *
   * @param record of that attempt
   */
  record HeldByOther(ClaimRecord record, long rowVersion) implements ClaimDecision {}

  /** The request may have run before and its answer is lost. */
  record OutcomeLost(ClaimRecord record) implements ClaimDecision {}

  /** The key was used before for a request with another body. */
  record KeyReused() implements ClaimDecision {}
}
