package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Rules on the cached prompts and the weights that a request may run on. */
final class ModelRules {

  private ModelRules() {}

  /** Checks rule STALE: a run uses no cached parts that were made by other weights. */
  static List<RuleBreak> staleCachedParts(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (Note.PartsUsed used : history.partsUsed()) {
      Note.Begun run = history.run(used.run());
      if (run != null && run.weights() != used.madeWeights()) {
        violations.add(
            new RuleBreak(
                "STALE",
                run.request(),
                "weights "
                    + run.weights()
                    + " used cached parts of weights "
                    + used.madeWeights()));
      }
    }
    return violations;
  }

  /** Checks rule WALL: isolated tenants share no cached parts with other tenants. */
  static List<RuleBreak> tenantIsolation(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (Note.PartsUsed used : history.partsUsed()) {
      Note.Begun run = history.run(used.run());
      if (run != null
          && !Objects.equals(run.tenant(), used.maker())
          && (isIsolated(history, run.tenant()) || isIsolated(history, used.maker()))) {
        violations.add(
            new RuleBreak(
                "WALL", run.request(), run.tenant() + " used cached parts of " + used.maker()));
      }
    }
    return violations;
  }

  private static boolean isIsolated(History history, String tenant) {
    return tenant != null
        && history.configurations().stream()
            .anyMatch(configuration -> configuration.isolated().contains(tenant));
  }

  /** Checks rule VERSION: requests do not start on outdated weights for too long. */
  static List<RuleBreak> outdatedWeights(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      for (Note.Begun run : request.runs()) {
        if (request.sent() != null && run.weights() > 0) {
          checkWeights(history, request.sent().node(), run, violations);
        }
      }
    }
    return violations;
  }

  private static void checkWeights(
      History history, String node, Note.Begun run, List<RuleBreak> violations) {
    long acknowledged = history.newerWeightsAcknowledgedMillis(run.weights());
    long since = Math.max(acknowledged, history.lastDisruptionEndMillis(run.atMillis()));
    if (acknowledged != Long.MAX_VALUE
        && run.atMillis() - since > history.bounds().versionMillis()
        && history.isStable(node, run.atMillis(), run.atMillis())) {
      violations.add(
          new RuleBreak(
              "VERSION",
              run.request(),
              "started on weights "
                  + run.weights()
                  + ", "
                  + (run.atMillis() - since)
                  + " ms after newer ones were acknowledged or the last disruption ended, through "
                  + node));
    }
  }
}
