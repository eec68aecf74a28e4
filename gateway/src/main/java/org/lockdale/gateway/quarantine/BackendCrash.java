package org.lockdale.gateway.quarantine;

import java.util.List;

/**
 * The end of a back end with the attempts of this node that it took along.
 *
 * @param backend id of the incarnation
 * @param evidence what shows its end
 * @param lost attempts that were under way
 */
record BackendCrash(String backend, CrashEvidence evidence, List<LostAttempt> lost) {

  /** Copies the attempts. */
  BackendCrash {
    lost = List.copyOf(lost);
  }
}
