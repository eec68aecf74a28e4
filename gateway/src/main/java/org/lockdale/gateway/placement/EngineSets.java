package org.lockdale.gateway.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Splits engines into those preferred for short prompts and those preferred for long ones. An
 * engine computes long prompts in pieces between the tokens of its running streams, so that streams
 * on it pause. All nodes that know the same engines split them alike, and an engine that goes
 * changes the set of one other at most.
 *
 * @param forShort engines preferred for short prompts
 * @param forLong engines preferred for long prompts
 */
record EngineSets(List<TrackedBackend> forShort, List<TrackedBackend> forLong) {

  private static final long RANKING_KEY = 0x5F3759DFL;

  /**
   * Splits engines.
   *
   * @param engines engines that may serve now
   * @param shortShare share of the engines for short prompts, 0 for no split
   */
  static EngineSets split(List<TrackedBackend> engines, double shortShare) {
    int count = (int) Math.ceil(engines.size() * shortShare);
    if (count == 0 || count >= engines.size()) {
      return new EngineSets(engines, engines);
    }
    List<TrackedBackend> ranked = new ArrayList<>(engines);
    ranked.sort(
        Comparator.comparingLong(
            engine -> Rendezvous.weight(RANKING_KEY, engine.identity()) ^ Long.MIN_VALUE));
    return new EngineSets(ranked.subList(0, count), ranked.subList(count, ranked.size()));
  }

  List<TrackedBackend> preferredFor(PromptPlacement prompt) {
    return prompt.isLong() ? forLong : forShort;
  }
}
