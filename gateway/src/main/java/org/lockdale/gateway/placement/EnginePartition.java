package org.lockdale.gateway.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.lockdale.coordination.placement.Rendezvous;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Partition of the engines into those preferred for short prompts and those preferred for long
 * ones. An engine computes a long prompt in chunks between the tokens of its running streams, which
 * stalls these streams. All nodes with the same known engines partition them alike, and the removal
 * of an engine moves at most one other to the other set.
 *
 * @param shortPromptEngines engines preferred for short prompts
 * @param longPromptEngines engines preferred for long prompts
 */
record EnginePartition(
    List<TrackedBackend> shortPromptEngines, List<TrackedBackend> longPromptEngines) {

  private static final long RANKING_KEY = 0x5F3759DFL;

  /**
   * Partitions engines.
   *
   * @param engines engines that may serve requests now
   * @param shortShare share of the engines for short prompts, 0 to 1; with 0 all engines are
   *     preferred for prompts of either length
   */
  static EnginePartition split(List<TrackedBackend> engines, double shortShare) {
    int count = (int) Math.ceil(engines.size() * shortShare);
    if (count == 0 || count >= engines.size()) {
      return new EnginePartition(engines, engines);
    }
    List<TrackedBackend> ranked = new ArrayList<>(engines);
    ranked.sort(
        Comparator.comparingLong(
            engine -> Rendezvous.weight(RANKING_KEY, engine.identity()) ^ Long.MIN_VALUE));
    return new EnginePartition(ranked.subList(0, count), ranked.subList(count, ranked.size()));
  }

  List<TrackedBackend> preferredFor(PromptPlacement prompt) {
    return prompt.isLong() ? longPromptEngines : shortPromptEngines;
  }
}
