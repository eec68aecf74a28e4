package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Rules on the runs of a request. */
final class RunRules {

  /** Statuses that tell the caller that its request has not run. */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

  private RunRules() {}

  /** Checks rule TWICE: a request that is not idempotent runs at most once. */
  static List<RuleBreak> duplicateRuns(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      if (sent != null && !sent.kind().isIdempotent() && request.runs().size() > 1) {
        violations.add(new RuleBreak("TWICE", request.id(), "ran as " + runIds(request)));
      }
    }
    return violations;
  }

  /** Checks rule REFUSED: a request that is not idempotent and was rejected has not run. */
  static List<RuleBreak> runsDespiteRejection(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      Note.Answered response = request.response();
      boolean notIdempotent = sent != null && !sent.kind().isIdempotent();
      if (notIdempotent
          && response != null
          && NOT_RUN_STATUSES.contains(response.status())
          && !request.runs().isEmpty()) {
        violations.add(
            new RuleBreak(
                "REFUSED",
                request.id(),
                "rejected with " + response.status() + " but ran as " + runIds(request)));
      }
    }
    return violations;
  }

  private static List<String> runIds(RequestHistory request) {
    return request.runs().stream().map(Note.Begun::run).toList();
  }

  /** Checks rule UNASKED: servers run only requests that callers sent, unchanged. */
  static List<RuleBreak> unrequestedRuns(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      for (Note.Begun run : request.runs()) {
        checkRun(history, request, run, violations);
      }
    }
    return violations;
  }

  private static void checkRun(
      History history, RequestHistory request, Note.Begun run, List<RuleBreak> violations) {
    Note.Sent sent = request.sent();
    if (sent == null) {
      if (history.isFullyRecorded(run.atMillis())) {
        violations.add(new RuleBreak("UNASKED", request.id(), "no caller sent it"));
      }
      return;
    }
    if (!sent.facts().equals(run.facts())) {
      violations.add(
          new RuleBreak(
              "UNASKED", request.id(), "sent as " + sent.facts() + ", ran as " + run.facts()));
    }
    if (sent.key() != null && !isTenantOf(history, sent.key(), run.tenant())) {
      violations.add(new RuleBreak("UNASKED", request.id(), "ran under tenant " + run.tenant()));
    }
  }

  private static boolean isTenantOf(History history, String key, String tenant) {
    return history.configurations().stream()
            .allMatch(configuration -> !configuration.tenants().containsKey(key))
        || history.configurations().stream()
            .anyMatch(
                configuration -> tenant != null && tenant.equals(configuration.tenants().get(key)));
  }
}
