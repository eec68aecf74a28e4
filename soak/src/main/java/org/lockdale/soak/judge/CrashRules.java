package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Rules on requests that crash the servers which run them. */
final class CrashRules {

  /** Number of crashed servers after which all nodes must limit a request. */
  private static final int CRASHES_BEFORE_LIMIT = 3;

  /** The same for requests that share a part of their prompts. */
  private static final int CRASHES_OF_PART_BEFORE_LIMIT = 5;

  /** Number of sends of a request that are allowed after that. */
  private static final int MAX_LATE_SENDS = 3;

  /**
   * Tolerance for comparing the times of nodes and servers: nodes log the time of day in whole
   * milliseconds, and a server records its crash shortly before it terminates.
   */
  private static final long CLOCK_TOLERANCE_MILLIS = 100;

  /** Identifies a request regardless of the id of the attempt. */
  record Contents(String method, String path, String body, @Nullable String key) {

    static Contents of(Note.Sent sent) {
      RequestFacts facts = sent.facts();
      return new Contents(facts.method(), facts.path(), facts.body(), sent.key());
    }
  }

  private CrashRules() {}

  /** Checks rule BUDGET: a request is sent few times after it has crashed three servers. */
  static List<RuleBreak> retriesAfterCrashes(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    lateSends(history, history.bounds().contactMillis(), true)
        .forEach(
            (request, count) -> {
              if (count > MAX_LATE_SENDS) {
                violations.add(
                    new RuleBreak(
                        "BUDGET",
                        request.path(),
                        count + " sends after it had crashed three servers"));
              }
            });
    return violations;
  }

  /** Checks rule BUDGET: few requests are sent with a part that has crashed five servers. */
  static List<RuleBreak> sendsOfCrashingPart(History history) {
    int count = lateSendsOfPart(history, history.bounds().contactMillis(), true);
    return count <= MAX_LATE_SENDS
        ? List.of()
        : List.of(
            new RuleBreak(
                "BUDGET",
                RequestFacts.CRASHING_PART,
                count + " sends of requests with a part that had crashed five servers"));
  }

  /**
   * Returns how often requests with the crashing part reached servers after the fifth crash that
   * they caused; see {@link #lateSends(History, long, boolean)}.
   */
  static int lateSendsOfPart(History history, long afterMillis, boolean onlyBound) {
    return lateSends(
            history,
            sent -> sent.facts().hasCrashingPart() ? RequestFacts.CRASHING_PART : null,
            CRASHES_OF_PART_BEFORE_LIMIT,
            afterMillis,
            onlyBound)
        .values()
        .stream()
        .mapToInt(Integer::intValue)
        .sum();
  }

  /**
   * Checks rule ENDS: a node must not take a replacement of a crashed server for that server. The
   * previous build is exempt.
   */
  static List<RuleBreak> livenessAfterCrash(History history) {
    Map<String, Long> crashTimes = new HashMap<>();
    history.crashes().forEach(crash -> crashTimes.putIfAbsent(crash.server(), crash.atMillis()));
    List<RuleBreak> violations = new ArrayList<>();
    for (Note.SaidToLive claim : history.livenessClaims()) {
      Long crashedMillis = crashTimes.get(claim.server());
      boolean late =
          crashedMillis != null
              && claim.atMillis() > crashedMillis + CLOCK_TOLERANCE_MILLIS
              && history.isUndisrupted(
                  History.previousBuild(claim.node()), claim.atMillis(), claim.atMillis());
      if (late) {
        long after = claim.atMillis() - crashedMillis;
        violations.add(
            new RuleBreak(
                "ENDS",
                claim.server(),
                "reported by " + claim.node() + " as alive " + after + " ms after its crash"));
      }
    }
    return violations;
  }

  /**
   * Returns how often requests reached servers after the third crash that they caused.
   *
   * @param afterMillis time after the third crash in which sends are not counted, in milliseconds
   * @param onlyBound whether only sends are counted for which node and store are {@linkplain
   *     History#isStable stable}
   */
  static Map<Contents, Integer> lateSends(History history, long afterMillis, boolean onlyBound) {
    return lateSends(history, Contents::of, CRASHES_BEFORE_LIMIT, afterMillis, onlyBound);
  }

  /**
   * Counts late sends by groups of requests.
   *
   * @param groupOf returns the group of a request, or null if it is in none
   * @param crashesBeforeLimit number of crashes by a group after which its sends are late
   */
  private static <G> Map<G, Integer> lateSends(
      History history,
      Function<Note.Sent, @Nullable G> groupOf,
      int crashesBeforeLimit,
      long afterMillis,
      boolean onlyBound) {
    if (history.crashes().isEmpty()) {
      return Map.of();
    }
    Map<String, G> groups = new HashMap<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      G group = sent == null ? null : groupOf.apply(sent);
      if (group != null) {
        groups.put(request.id(), group);
      }
    }
    Map<G, Long> limits = limitTimes(history, groups, crashesBeforeLimit);
    Map<G, Integer> sends = new HashMap<>();
    for (RequestHistory request : history.requests()) {
      Note.Sent sent = request.sent();
      G group = groups.get(request.id());
      Long limitMillis = group == null ? null : limits.get(group);
      if (sent != null && limitMillis != null) {
        int late = lateSends(history, request, sent, limitMillis + afterMillis, onlyBound);
        sends.merge(group, late, Integer::sum);
      }
    }
    return sends;
  }

  /** Returns the times of the last crashes before the sends of a group are limited. */
  private static <G> Map<G, Long> limitTimes(
      History history, Map<String, G> groups, int crashesBeforeLimit) {
    Map<G, Set<String>> servers = new HashMap<>();
    Map<G, Long> limitTimes = new HashMap<>();
    for (Note.Crashed crashed : history.crashes()) {
      G group = groups.get(crashed.request());
      if (group != null) {
        Set<String> crashedServers = servers.computeIfAbsent(group, key -> new HashSet<>());
        if (crashedServers.add(crashed.server()) && crashedServers.size() == crashesBeforeLimit) {
          limitTimes.put(group, crashed.atMillis());
        }
      }
    }
    return limitTimes;
  }

  private static int lateSends(
      History history,
      RequestHistory request,
      Note.Sent sent,
      long afterMillis,
      boolean onlyBound) {
    int sends = 0;
    for (Note.Arrived arrived : request.arrivals()) {
      long at = arrived.atMillis();
      sends += at > afterMillis && (!onlyBound || isBound(history, sent.node(), at)) ? 1 : 0;
    }
    return sends;
  }

  private static boolean isBound(History history, String node, long at) {
    return history.isStable(node, at, at) && history.isStable(History.STORE, at, at);
  }
}
