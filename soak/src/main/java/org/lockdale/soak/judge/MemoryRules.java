package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Which cached prompts and which weights a request may run on. */
final class MemoryRules {

  private MemoryRules() {}

  static List<RuleBreak> stale(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    for (Note.PartsUsed used : history.partsUsed()) {
      Note.Begun run = history.run(used.run());
      if (run != null && run.weights() != used.madeWeights()) {
        breaks.add(
            new RuleBreak(
                "STALE",
                run.request(),
                "weights " + run.weights() + " on parts of weights " + used.madeWeights()));
      }
    }
    return breaks;
  }

  static List<RuleBreak> wall(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    for (Note.PartsUsed used : history.partsUsed()) {
      Note.Begun run = history.run(used.run());
      if (run != null
          && !Objects.equals(run.tenant(), used.maker())
          && (isIsolated(history, run.tenant()) || isIsolated(history, used.maker()))) {
        breaks.add(
            new RuleBreak("WALL", run.request(), run.tenant() + " uses parts of " + used.maker()));
      }
    }
    return breaks;
  }

  private static boolean isIsolated(History history, String tenant) {
    return tenant != null
        && history.configurations().stream().anyMatch(known -> known.isolated().contains(tenant));
  }

  static List<RuleBreak> version(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    for (RequestStory request : history.requests()) {
      for (Note.Begun run : request.runs()) {
        if (request.sent() != null && run.weights() > 0) {
          check(history, request.sent().node(), run, breaks);
        }
      }
    }
    return breaks;
  }

  private static void check(History history, String node, Note.Begun run, List<RuleBreak> breaks) {
    long named = history.newerWeightsAcknowledged(run.weights());
    long since = Math.max(named, history.stableSince(run.atMillis()));
    if (named != Long.MAX_VALUE
        && run.atMillis() - since > history.bounds().versionMillis()
        && history.inTouch(node, run.atMillis(), run.atMillis())) {
      breaks.add(
          new RuleBreak(
              "VERSION",
              run.request(),
              "began on weights "
                  + run.weights()
                  + ", "
                  + (run.atMillis() - since)
                  + " ms after newer ones were named or all was stable, through "
                  + node));
    }
  }
}
