package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.function.Predicate;

/** Which configuration may decide about a request. */
final class ConfigurationRules {

  private static final int UNKNOWN_KEY = 401;
  private static final int UNKNOWN_ROUTE = 404;

  /** Refusals of what is always allowed that machines out of touch may give. */
  private static final int DENIALS_OUT_OF_TOUCH = 10;

  /** Time past the route's timeout within which an answer must come. */
  private static final long ANSWER_SLACK_MILLIS = 500;

  /** Fewer requests past their timeout say nothing of a share. */
  private static final int LEAST_OVERDUE = 8;

  private ConfigurationRules() {}

  /** What was done with a request, and the configurations under which that is right. */
  private record Effect(
      String request, String node, long sentMillis, long seenMillis, long oldest, long newest) {}

  static List<RuleBreak> route(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    for (RequestStory request : history.requests()) {
      Note.Sent sent = request.sent();
      for (Note.Begun run : request.runs()) {
        if (sent != null && versions(history, allowing(sent, run)).getCount() == 0) {
          breaks.add(
              new RuleBreak(
                  "ROUTE", request.id(), "no configuration lets " + run.service() + " run it"));
        }
      }
    }
    return breaks;
  }

  static List<RuleBreak> late(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    for (Effect effect : effects(history)) {
      long owed =
          history.newestAcknowledged(effect.sentMillis() - history.bounds().applyMillis() - 1);
      boolean bound =
          history.inTouch(effect.node(), effect.sentMillis(), effect.seenMillis())
              && history.inTouch(History.CORE, effect.sentMillis(), effect.seenMillis());
      if (effect.newest() < owed && bound) {
        breaks.add(
            new RuleBreak(
                "CONFIG",
                effect.request(),
                effect.node() + " acts on version " + effect.newest() + ", " + owed + " is due"));
      }
    }
    return breaks;
  }

  static List<RuleBreak> regress(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    Map<String, List<Effect>> ofNodes = new HashMap<>();
    for (Effect effect : effects(history)) {
      String life = effect.node() + "@" + history.lifeOf(effect.node(), effect.sentMillis());
      ofNodes.computeIfAbsent(life, key -> new ArrayList<>()).add(effect);
    }
    for (List<Effect> effects : ofNodes.values()) {
      checkOneLife(history, effects, breaks);
    }
    return breaks;
  }

  private static void checkOneLife(History history, List<Effect> effects, List<RuleBreak> breaks) {
    List<Effect> seen = new ArrayList<>(effects);
    seen.sort(Comparator.comparingLong(Effect::seenMillis));
    List<Effect> sent = new ArrayList<>(effects);
    sent.sort(Comparator.comparingLong(Effect::sentMillis));
    long shown = 0;
    int next = 0;
    for (Effect effect : sent) {
      long by = effect.sentMillis() - history.bounds().downgradeMillis();
      while (next < seen.size() && seen.get(next).seenMillis() < by) {
        shown = Math.max(shown, seen.get(next).oldest());
        next++;
      }
      if (effect.newest() < shown) {
        breaks.add(
            new RuleBreak(
                "CONFIG",
                effect.request(),
                effect.node() + " fell back from version " + shown + " to " + effect.newest()));
      }
    }
  }

  private static List<Effect> effects(History history) {
    List<Effect> effects = new ArrayList<>();
    for (RequestStory request : history.requests()) {
      Note.Sent sent = request.sent();
      if (sent == null) {
        continue;
      }
      for (Note.Begun run : request.runs()) {
        add(effects, sent, run.atMillis(), versions(history, allowing(sent, run)));
      }
      Note.Answered answer = request.answer();
      if (answer != null && isDenial(answer)) {
        add(effects, sent, answer.atMillis(), versions(history, denying(sent, answer)));
      }
    }
    return effects;
  }

  private static void add(
      List<Effect> effects, Note.Sent sent, long seenMillis, LongSummaryStatistics versions) {
    if (versions.getCount() > 0) {
      effects.add(
          new Effect(
              sent.request(),
              sent.node(),
              sent.atMillis(),
              seenMillis,
              versions.getMin(),
              versions.getMax()));
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
    return known -> known.allows(sent.facts().path(), sent.key(), run.service());
  }

  private static Predicate<ConfigurationFacts> denying(Note.Sent sent, Note.Answered answer) {
    return known ->
        answer.status() == UNKNOWN_KEY
            ? !known.knows(sent.key())
            : known.route(sent.facts().path()) == null;
  }

  private static boolean isDenial(Note.Answered answer) {
    boolean denied = answer.status() == UNKNOWN_KEY || answer.status() == UNKNOWN_ROUTE;
    return denied && answer.signature() == null;
  }

  /** Whatever the state of a machine, a key that was taken back long ago is not served. */
  static List<RuleBreak> revoked(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    for (RequestStory request : history.requests()) {
      Note.Sent sent = request.sent();
      if (sent == null || sent.key() == null || request.runs().isEmpty()) {
        continue;
      }
      long revoked = revokedAt(history, sent.key());
      if (revoked != Long.MAX_VALUE
          && sent.atMillis() - revoked > history.bounds().revokeMillis()) {
        breaks.add(
            new RuleBreak(
                "CONFIG",
                request.id(),
                "ran "
                    + (sent.atMillis() - revoked)
                    + " ms after its key was revoked, through "
                    + sent.node()));
      }
    }
    return breaks;
  }

  /** Returns when a key that had been given out was taken back for good, or never. */
  private static long revokedAt(History history, String key) {
    LongSummaryStatistics holding = versions(history, known -> known.tenants().containsKey(key));
    return history.configurations().stream()
        .filter(known -> holding.getCount() > 0 && known.version() > holding.getMax())
        .mapToLong(known -> history.acknowledged(known.version()))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  static List<RuleBreak> denied(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    List<RuleBreak> outOfTouch = new ArrayList<>();
    for (RequestStory request : history.requests()) {
      Note.Sent sent = request.sent();
      Note.Answered answer = request.answer();
      boolean denial = sent != null && answer != null && isDenial(answer);
      if (denial && versions(history, denying(sent, answer)).getCount() == 0) {
        boolean bound = history.inTouch(sent.node(), sent.atMillis(), answer.atMillis());
        (bound ? breaks : outOfTouch)
            .add(
                new RuleBreak(
                    "DENIED",
                    request.id(),
                    sent.node() + " answered " + answer.status() + " to what is always allowed"));
      }
    }
    if (outOfTouch.size() > DENIALS_OUT_OF_TOUCH) {
      breaks.addAll(outOfTouch);
    }
    return breaks;
  }

  static List<RuleBreak> unanswered(History history) {
    int overdue = 0;
    List<RuleBreak> breaks = new ArrayList<>();
    for (RequestStory request : history.requests()) {
      Note.Sent sent = request.sent();
      long timeout = sent == null ? 0 : timeoutOf(history, sent);
      if (timeout == 0 || request.left() != null || sent.deadlineMillis() < timeout) {
        continue;
      }
      long due = sent.atMillis() + timeout;
      long last = due + ANSWER_SLACK_MILLIS;
      long answered = request.answer() == null ? Long.MAX_VALUE : request.answer().atMillis();
      boolean bound =
          history.isSettled(last) && history.inTouch(sent.node(), sent.atMillis(), last);
      if (bound && answered > due) {
        overdue++;
        if (answered > last) {
          breaks.add(
              new RuleBreak(
                  "CONFIG", request.id(), sent.node() + " holds it past its route's timeout"));
        }
      }
    }
    return breaks.size() >= LEAST_OVERDUE && breaks.size() * 2 > overdue ? breaks : List.of();
  }

  /** Returns the longest timeout that any configuration gives a request's route. */
  private static long timeoutOf(History history, Note.Sent sent) {
    return history.configurations().stream()
        .map(known -> known.route(sent.facts().path()))
        .filter(route -> route != null)
        .mapToLong(RouteFacts::timeoutMillis)
        .max()
        .orElse(0);
  }
}
