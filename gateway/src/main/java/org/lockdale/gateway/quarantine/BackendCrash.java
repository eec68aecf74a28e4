package org.lockdale.gateway.quarantine;

import java.util.List;

/**
 * The crash of a backend with the attempts of this node that were lost with it.
 *
 * @param backend id of the incarnation
 * @param evidence what shows that it crashed
 * @param lost attempts that were in progress on it
 */
record BackendCrash(String backend, CrashEvidence evidence, List<LostAttempt> lost) {

  /** Copies the list of attempts. */
  BackendCrash {
    lost = List.copyOf(lost);
  }
}
