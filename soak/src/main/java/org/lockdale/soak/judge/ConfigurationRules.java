package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.function.Predicate;

/** Rules on the configurations that nodes apply to requests. */
final class ConfigurationRules {

  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;

  /** Number of wrong denials that are tolerated in a run from nodes while they are disrupted. */
  private static final int MAX_DENIALS_WHILE_DISRUPTED = 10;

  /** Time past the route's timeout within which a response must arrive. */
  private static final long RESPONSE_SLACK_MILLIS = 500;

  /** Number of overdue requests from which on their share of all late ones is significant. */
  private static final int MIN_OVERDUE = 8;

  private ConfigurationRules() {}

  /**
   * A run or denial of a request, and the oldest and newest configuration that permit it.
   *
   * @param node node that the caller is connected to
   * @param showsVersion whether it shows that the node had come to the oldest of them; false for a
   *     denial that the node has passed on from another one, and while that may not be recorded yet
   */
  private record Effect(
      String request,
      String node,
      long sentMillis,
      long seenMillis,
      long oldest,
      long newest,
      boolean showsVersion) {}

  /** Checks rule ROUTE: a service only runs requests that some configuration routes to it. */
  static List<RuleBreak> wrongService(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      for (Note.Begun run : request.runs()) {
        if (sent != null && versions(history, allowing(sent, run)).getCount() == 0) {
          violations.add(
              new RuleBreak(
                  "ROUTE",
                  request.id(),
                  "no configuration allows " + run.service() + " to run it"));
        }
      }
    }
    return violations;
  }

  /** Checks rule CONFIG: nodes apply an acknowledged configuration in time. */
  static List<RuleBreak> lateConfiguration(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (Effect effect : effects(history)) {
      long dueVersion =
          history.newestAcknowledgedVersion(
              effect.sentMillis() - history.bounds().applyMillis() - 1);
      boolean applies =
          history.isStable(effect.node(), effect.sentMillis(), effect.seenMillis())
              && history.isStable(History.STORE, effect.sentMillis(), effect.seenMillis());
      if (effect.newest() < dueVersion && applies) {
        violations.add(
            new RuleBreak(
                "CONFIG",
                effect.request(),
                effect.node()
                    + " applies version "
                    + effect.newest()
                    + ", "
                    + dueVersion
                    + " is due"));
      }
    }
    return violations;
  }

  /**
   * Checks rule CONFIG: a node's process does not return to an older configuration. Its version is
   * shown by runs, also of requests that it has forwarded, and by its own denials. It is not shown
   * by the denial of another node, which no server sees.
   */
  static List<RuleBreak> configurationRegression(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    Map<String, List<Effect>> effectsByProcess = new HashMap<>();
    for (Effect effect : effects(history)) {
      String process =
          effect.node() + "@" + history.processStartMillis(effect.node(), effect.sentMillis());
      effectsByProcess.computeIfAbsent(process, key -> new ArrayList<>()).add(effect);
    }
    for (List<Effect> effects : effectsByProcess.values()) {
      checkProcess(history, effects, violations);
    }
    return violations;
  }

  private static void checkProcess(
      History history, List<Effect> effects, List<RuleBreak> violations) {
    List<Effect> seen = new ArrayList<>(effects);
    seen.sort(Comparator.comparingLong(Effect::seenMillis));
    List<Effect> sent = new ArrayList<>(effects);
    sent.sort(Comparator.comparingLong(Effect::sentMillis));
    long appliedVersion = 0;
    int next = 0;
    for (Effect effect : sent) {
      long before = effect.sentMillis() - history.bounds().downgradeMillis();
      while (next < seen.size() && seen.get(next).seenMillis() < before) {
        if (seen.get(next).showsVersion()) {
          appliedVersion = Math.max(appliedVersion, seen.get(next).oldest());
        }
        next++;
      }
      if (effect.newest() < appliedVersion) {
        violations.add(
            new RuleBreak(
                "CONFIG",
                effect.request(),
                effect.node()
                    + " returned from version "
                    + appliedVersion
                    + " to "
                    + effect.newest()));
      }
    }
  }

  private static List<Effect> effects(History history) {
    List<Effect> effects = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      if (sent == null) {
        continue;
      }
      for (Note.Begun run : request.runs()) {
        addEffect(effects, sent, run.atMillis(), versions(history, allowing(sent, run)), true);
      }
      Note.Answered response = request.response();
      if (response != null && isDenial(response)) {
        boolean showsVersion =
            history.isFullyRecorded(response.atMillis()) && !history.isForwarded(sent);
        addEffect(
            effects,
            sent,
            response.atMillis(),
            versions(history, denying(sent, response)),
            showsVersion);
      }
    }
    return effects;
  }

  private static void addEffect(
      List<Effect> effects,
      Note.Sent sent,
      long seenMillis,
      LongSummaryStatistics versions,
      boolean showsVersion) {
    if (versions.getCount() > 0) {
      effects.add(
          new Effect(
              sent.request(),
              sent.node(),
              sent.atMillis(),
              seenMillis,
              versions.getMin(),
              versions.getMax(),
              showsVersion));
    }
  }

  private static LongSummaryStatistics versions(
      History history, Predicate<ConfigurationFacts> wanted) {
    return history.configurations().stream()
        .filter(wanted)
        .mapToLong(ConfigurationFacts::version)
        .summaryStatistics();
  }

  private static Predicate<ConfigurationFacts> allowing(Note.Sent sent, Note.Begun run) {
    return configuration -> configuration.allows(sent.facts().path(), sent.key(), run.service());
  }

  private static Predicate<ConfigurationFacts> denying(Note.Sent sent, Note.Answered response) {
    return configuration ->
        response.status() == UNAUTHORIZED
            ? !configuration.acceptsKey(sent.key())
            : configuration.route(sent.facts().path()) == null;
  }

  private static boolean isDenial(Note.Answered response) {
    boolean denied = response.status() == UNAUTHORIZED || response.status() == NOT_FOUND;
    return denied && response.signature() == null;
  }

  /**
   * Checks rule CONFIG: a key is not served later than {@link Bounds#revokeMillis} after its
   * revocation, even by a node that is disrupted.
   */
  static List<RuleBreak> revokedKeys(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      if (sent == null || sent.key() == null || request.runs().isEmpty()) {
        continue;
      }
      long revoked = revokedAt(history, sent.key());
      if (revoked != Long.MAX_VALUE
          && sent.atMillis() - revoked > history.bounds().revokeMillis()) {
        violations.add(
            new RuleBreak(
                "CONFIG",
                request.id(),
                "ran "
                    + (sent.atMillis() - revoked)
                    + " ms after its key was revoked, through "
                    + sent.node()));
      }
    }
    return violations;
  }

  /**
   * Returns when the first configuration after the last one with a key was acknowledged, or {@link
   * Long#MAX_VALUE} if there is none or the key was in no configuration.
   */
  private static long revokedAt(History history, String key) {
    LongSummaryStatistics holding =
        versions(history, configuration -> configuration.tenants().containsKey(key));
    return history.configurations().stream()
        .filter(
            configuration -> holding.getCount() > 0 && configuration.version() > holding.getMax())
        .mapToLong(configuration -> history.acknowledgedMillis(configuration.version()))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Checks rule DENIED: nodes deny only requests that some configuration denies. */
  static List<RuleBreak> wrongDenials(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    List<RuleBreak> whileDisrupted = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      Note.Answered response = request.response();
      boolean denial = sent != null && response != null && isDenial(response);
      if (denial && versions(history, denying(sent, response)).getCount() == 0) {
        boolean applies = history.isStable(sent.node(), sent.atMillis(), response.atMillis());
        (applies ? violations : whileDisrupted)
            .add(
                new RuleBreak(
                    "DENIED",
                    request.id(),
                    sent.node()
                        + " responded "
                        + response.status()
                        + " although no configuration denies it"));
      }
    }
    if (whileDisrupted.size() > MAX_DENIALS_WHILE_DISRUPTED) {
      violations.addAll(whileDisrupted);
    }
    return violations;
  }

  /**
   * Checks rule CONFIG: nodes respond within the route's timeout. It is violated if at least {@link
   * #MIN_OVERDUE} responses, and more than half of those after the timeout, also exceed the slack.
   */
  static List<RuleBreak> overdueResponses(History history) {
    int late = 0;
    List<RuleBreak> violations = new ArrayList<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      long timeout = sent == null ? 0 : timeoutOf(history, sent);
      if (timeout == 0 || request.left() != null || sent.deadlineMillis() < timeout) {
        continue;
      }
      long due = sent.atMillis() + timeout;
      long last = due + RESPONSE_SLACK_MILLIS;
      long answered = request.response() == null ? Long.MAX_VALUE : request.response().atMillis();
      boolean applies =
          history.isFullyRecorded(last) && history.isStable(sent.node(), sent.atMillis(), last);
      if (applies && answered > due) {
        late++;
        if (answered > last) {
          violations.add(
              new RuleBreak(
                  "CONFIG", request.id(), sent.node() + " holds it past its route's timeout"));
        }
      }
    }
    return violations.size() >= MIN_OVERDUE && violations.size() * 2 > late
        ? violations
        : List.of();
  }

  /** Returns the longest timeout that any configuration gives a request's route. */
  private static long timeoutOf(History history, Note.Sent sent) {
    return history.configurations().stream()
        .map(configuration -> configuration.route(sent.facts().path()))
        .filter(route -> route != null)
        .mapToLong(RouteFacts::timeoutMillis)
        .max()
        .orElse(0);
  }
}
