package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** What may become of requests that end the servers which run them. */
final class CrashRules {

  /** Servers that end until all nodes have to know. */
  private static final int ENDS_TO_KNOW = 3;

  /** Sends that may follow. */
  private static final int MOST_RETRIES = 3;

  /**
   * Nodes write times of day, in whole milliseconds, and a server notes its end a moment before.
   */
  private static final long CLOCKS_MILLIS = 100;

  /** A request whatever the id of its try. */
  record Contents(String method, String path, String body, @Nullable String key) {

    static Contents of(Note.Sent sent) {
      RequestFacts facts = sent.facts();
      return new Contents(facts.method(), facts.path(), facts.body(), sent.key());
    }
  }

  private CrashRules() {}

  static List<RuleBreak> repeats(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    lateSends(history, history.bounds().contactMillis(), true)
        .forEach(
            (what, number) -> {
              if (number > MOST_RETRIES) {
                breaks.add(
                    new RuleBreak(
                        "BUDGET", what.path(), number + " sends after it had ended three servers"));
              }
            });
    return breaks;
  }

  /** What answers in the place of a server that ended must not be taken for it. */
  static List<RuleBreak> revived(History history) {
    Map<String, Long> endedAt = new HashMap<>();
    history.crashes().forEach(crash -> endedAt.putIfAbsent(crash.server(), crash.atMillis()));
    List<RuleBreak> breaks = new ArrayList<>();
    for (Note.SaidToLive said : history.saidToLive()) {
      Long ended = endedAt.get(said.server());
      boolean late =
          ended != null
              && said.atMillis() > ended + CLOCKS_MILLIS
              && history.undisrupted(History.former(said.node()), said.atMillis(), said.atMillis());
      if (late) {
        long after = said.atMillis() - ended;
        breaks.add(
            new RuleBreak(
                "ENDS",
                said.server(),
                "said by " + said.node() + " to have lived " + after + " ms after it ended"));
      }
    }
    return breaks;
  }

  /**
   * Returns how often requests reached servers after their third end.
   *
   * @param afterMillis time from the third end on that doesn't count
   * @param bound whether only sends by nodes in touch count
   */
  static Map<Contents, Integer> lateSends(History history, long afterMillis, boolean bound) {
    if (history.crashes().isEmpty()) {
      return Map.of();
    }
    Map<String, Contents> contents = new HashMap<>();
    for (RequestStory request : history.requests()) {
      if (request.sent() != null) {
        contents.put(request.id(), Contents.of(request.sent()));
      }
    }
    Map<Contents, Long> thirdEnds = thirdEnds(history, contents);
    Map<Contents, Integer> sends = new HashMap<>();
    for (RequestStory request : history.requests()) {
      Note.Sent sent = request.sent();
      Long third = sent == null ? null : thirdEnds.get(Contents.of(sent));
      if (third != null) {
        int late = lateSends(history, request, sent, third + afterMillis, bound);
        sends.merge(Contents.of(sent), late, Integer::sum);
      }
    }
    return sends;
  }

  private static Map<Contents, Long> thirdEnds(History history, Map<String, Contents> contents) {
    Map<Contents, Set<String>> servers = new HashMap<>();
    Map<Contents, Long> thirdEnds = new HashMap<>();
    for (Note.Crashed crashed : history.crashes()) {
      Contents what = contents.get(crashed.request());
      if (what != null) {
        Set<String> ended = servers.computeIfAbsent(what, key -> new HashSet<>());
        if (ended.add(crashed.server()) && ended.size() == ENDS_TO_KNOW) {
          thirdEnds.put(what, crashed.atMillis());
        }
      }
    }
    return thirdEnds;
  }

  private static int lateSends(
      History history, RequestStory request, Note.Sent sent, long afterMillis, boolean bound) {
    int sends = 0;
    for (Note.Arrived arrived : request.arrivals()) {
      long at = arrived.atMillis();
      sends += at > afterMillis && (!bound || isBound(history, sent.node(), at)) ? 1 : 0;
    }
    return sends;
  }

  private static boolean isBound(History history, String node, long at) {
    return history.inTouch(node, at, at) && history.inTouch(History.CORE, at, at);
  }
}
