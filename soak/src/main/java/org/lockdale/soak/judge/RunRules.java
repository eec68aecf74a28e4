package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Which runs of a request there may be. */
final class RunRules {

  /** Statuses by which a request is said not to have run. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  private RunRules() {}

  static List<RuleBreak> twice(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    for (RequestStory request : history.requests()) {
      Note.Sent sent = request.sent();
      if (sent != null && !sent.kind().isIdempotent() && request.runs().size() > 1) {
        breaks.add(new RuleBreak("TWICE", request.id(), "ran as " + runsOf(request)));
      }
    }
    return breaks;
  }

  static List<RuleBreak> refused(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    for (RequestStory request : history.requests()) {
      Note.Sent sent = request.sent();
      Note.Answered answer = request.answer();
      boolean mayNotRepeat = sent != null && !sent.kind().isIdempotent();
      if (mayNotRepeat
          && answer != null
          && NOT_RUN.contains(answer.status())
          && !request.runs().isEmpty()) {
        breaks.add(
            new RuleBreak(
                "REFUSED",
                request.id(),
                "answered " + answer.status() + " but ran as " + runsOf(request)));
      }
    }
    return breaks;
  }

  private static List<String> runsOf(RequestStory request) {
    return request.runs().stream().map(Note.Begun::run).toList();
  }

  static List<RuleBreak> unasked(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    for (RequestStory request : history.requests()) {
      for (Note.Begun run : request.runs()) {
        checkRun(history, request, run, breaks);
      }
    }
    return breaks;
  }

  private static void checkRun(
      History history, RequestStory request, Note.Begun run, List<RuleBreak> breaks) {
    Note.Sent sent = request.sent();
    if (sent == null) {
      if (history.isSettled(run.atMillis())) {
        breaks.add(new RuleBreak("UNASKED", request.id(), "no caller sent it"));
      }
      return;
    }
    if (!sent.facts().equals(run.facts())) {
      breaks.add(
          new RuleBreak(
              "UNASKED", request.id(), "sent as " + sent.facts() + ", ran as " + run.facts()));
    }
    if (sent.key() != null && !isTenantOf(history, sent.key(), run.tenant())) {
      breaks.add(new RuleBreak("UNASKED", request.id(), "ran under tenant " + run.tenant()));
    }
  }

  private static boolean isTenantOf(History history, String key, String tenant) {
    return history.configurations().stream().allMatch(known -> !known.tenants().containsKey(key))
        || history.configurations().stream()
            .anyMatch(known -> tenant != null && tenant.equals(known.tenants().get(key)));
  }
}
