package org.lockdale.gateway.quarantine.part;

import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * A part of prompts for which requests are held back. Immutable but for the permit.
 *
 * @param part the part
 * @param crashes keys of the crashes that count against it
 * @param callers hashes of the callers whose requests crashed backends
 * @param untilMillis monotonic time at which it may be tried again
 * @param permit lets one request be sent as a trial, or null
 */
public record HeldPart(
    PromptPartKey part,
    Set<String> crashes,
    Set<Integer> callers,
    long untilMillis,
    @Nullable TrialPermit permit) {

  /** Copies the sets. */
  public HeldPart {
    crashes = Set.copyOf(crashes);
    callers = Set.copyOf(callers);
  }

  static HeldPart of(PartSuspect suspect, long untilMillis, @Nullable TrialPermit permit) {
    Set<String> counted = suspect.countedCrashes();
    Set<Integer> callers =
        counted.stream()
            .map(key -> suspect.crashes().get(key).caller())
            .collect(Collectors.toSet());
    return new HeldPart(suspect.part(), counted, callers, untilMillis, permit);
  }

  /**
   * Returns whether it holds back the requests of a caller. One caller alone must not be able to
   * have the requests of others held back by naming their parts, so a part is held back for all
   * callers only if requests of several of them crashed backends.
   */
  boolean appliesTo(String caller) {
    return callers.size() != 1
        || callers.contains(PartCrash.SEVERAL)
        || callers.contains(caller.hashCode());
  }
}
