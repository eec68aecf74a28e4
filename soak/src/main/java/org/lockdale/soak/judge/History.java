package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** The recorded events of a run, indexed for the rules. Events may be added in any order. */
public final class History {

  /** Subject of a disruption of the store. */
  public static final String STORE = "store";

  /** Subject of a disruption of the whole host that the soak runs on. */
  public static final String HOST = "*";

  /** Subject of a time in which the soak's proxy was not scheduled. */
  public static final String PROXY = "proxy";

  private static final String LINK_ARROW = ">";
  private static final String FORMER = "former ";
  private static final String STALLED = "stalled ";

  /**
   * Maximum time until an event reaches the checker through its pipe; one that is missing after
   * this time was not written. Ten times the longest delivery seen on a machine with twice as many
   * busy threads as cores.
   */
  private static final long MAX_DELIVERY_MILLIS = 2_000;

  private final Bounds bounds;
  private final Map<String, RequestHistory> requests = new LinkedHashMap<>();
  private final Map<String, Note.Begun> runs = new HashMap<>();
  private final Map<String, Note.Ended> ends = new HashMap<>();
  private final List<Note.PartsUsed> partsUsed = new ArrayList<>();
  private final List<Note.Ordered> orders = new ArrayList<>();
  private final List<Note.Crashed> crashes = new ArrayList<>();
  private final List<Note.SaidToLive> livenessClaims = new ArrayList<>();
  private final List<Note.Forwarded> forwardings = new ArrayList<>();
  private final List<Note.Surplus> surplusBytes = new ArrayList<>();
  private final List<Note.ForeignReply> foreignReplies = new ArrayList<>();
  private final List<Note.AnsweredAgain> secondReplies = new ArrayList<>();
  private final List<Note.SecondReplyUsed> usedSecondReplies = new ArrayList<>();
  private final List<Note.OrderAnswered> orderAnswers = new ArrayList<>();
  private final List<Note.OrderLogged> orderOutcomes = new ArrayList<>();
  private final List<Note.RateNamed> rateChanges = new ArrayList<>();
  private final List<Note.RateTold> rateAnnouncements = new ArrayList<>();
  private final List<Note.LeavingTold> drainAnnouncements = new ArrayList<>();
  private final List<Note.RestTold> backoffRequests = new ArrayList<>();
  private final Map<Long, ConfigurationFacts> configurations = new LinkedHashMap<>();
  private final Map<Long, Long> configurationAcks = new HashMap<>();
  private final Map<Long, Long> weightAcks = new HashMap<>();
  private final Map<String, Long> drainAcks = new HashMap<>();
  private final Map<String, NavigableSet<Long>> starts = new HashMap<>();
  private final Disruptions disruptions = new Disruptions();
  private long latestMillis;

  /** Creates an empty history. */
  public History(Bounds bounds) {
    this.bounds = bounds;
  }

  /** Adds a recorded event. */
  public void add(Note note) {
    latestMillis = Math.max(latestMillis, note.atMillis());
    if (!addRequestNote(note)) {
      addControlNote(note);
    }
  }

  /** Adds an event of a request and returns true, or returns false if it is of another kind. */
  private boolean addRequestNote(Note note) {
    if (note instanceof Note.Sent sent) {
      request(sent.request()).setSent(sent);
    } else if (note instanceof Note.TakenUp takenUp) {
      request(takenUp.request()).setTakenUp(takenUp);
    } else if (note instanceof Note.Answered answered) {
      request(answered.request()).setResponse(answered);
    } else if (note instanceof Note.Left left) {
      request(left.request()).setLeft(left);
    } else if (note instanceof Note.Arrived arrived) {
      request(arrived.request()).arrivals().add(arrived);
    } else if (note instanceof Note.Begun begun) {
      request(begun.request()).runs().add(begun);
      runs.put(begun.run(), begun);
    } else if (note instanceof Note.Ended end) {
      ends.put(end.run(), end);
    } else if (note instanceof Note.PartsUsed used) {
      partsUsed.add(used);
    } else if (note instanceof Note.Crashed crashed) {
      crashes.add(crashed);
    } else if (note instanceof Note.SaidToLive claim) {
      livenessClaims.add(claim);
    } else if (note instanceof Note.Surplus bytes) {
      surplusBytes.add(bytes);
    } else if (note instanceof Note.RateTold announcement) {
      rateAnnouncements.add(announcement);
    } else if (note instanceof Note.LeavingTold announcement) {
      drainAnnouncements.add(announcement);
    } else if (note instanceof Note.RestTold announcement) {
      backoffRequests.add(announcement);
    } else if (note instanceof Note.Forwarded forwarded) {
      forwardings.add(forwarded);
      request(forwarded.request()).addForwardingNode(forwarded.node());
    } else if (note instanceof Note.ForeignReply reply) {
      foreignReplies.add(reply);
    } else if (note instanceof Note.AnsweredAgain reply) {
      secondReplies.add(reply);
    } else {
      return note instanceof Note.Rejected;
    }
    return true;
  }

  private void addControlNote(Note note) {
    if (note instanceof Note.Ordered ordered) {
      orders.add(ordered);
    } else if (note instanceof Note.OrderAnswered answer) {
      orderAnswers.add(answer);
    } else if (note instanceof Note.OrderLogged outcome) {
      orderOutcomes.add(outcome);
    } else if (note instanceof Note.SecondReplyUsed used) {
      usedSecondReplies.add(used);
    } else if (note instanceof Note.ConfigurationSent sent) {
      configurations.put(sent.facts().version(), sent.facts());
    } else if (note instanceof Note.ConfigurationAcknowledged acknowledged) {
      configurationAcks.put(acknowledged.version(), acknowledged.atMillis());
    } else if (note instanceof Note.WeightsAcknowledged acknowledged) {
      weightAcks.put(acknowledged.version(), acknowledged.atMillis());
    } else if (note instanceof Note.LeavingAcknowledged drain) {
      drainAcks.merge(drain.server(), drain.atMillis(), Math::min);
    } else if (note instanceof Note.Started started) {
      starts.computeIfAbsent(started.node(), node -> new TreeSet<>()).add(started.atMillis());
    } else if (note instanceof Note.RateNamed change) {
      rateChanges.add(change);
    } else if (note instanceof Note.DisruptionBegan start) {
      disruptions.addStart(start);
    } else if (note instanceof Note.DisruptionEnded end) {
      disruptions.addEnd(end);
    }
  }

  RequestHistory request(String id) {
    return requests.computeIfAbsent(id, RequestHistory::new);
  }

  Bounds bounds() {
    return bounds;
  }

  Collection<RequestHistory> requests() {
    return requests.values();
  }

  Note.@Nullable Begun run(String id) {
    return runs.get(id);
  }

  Note.@Nullable Ended end(String run) {
    return ends.get(run);
  }

  List<Note.PartsUsed> partsUsed() {
    return partsUsed;
  }

  List<Note.Ordered> orders() {
    return orders;
  }

  List<Note.Crashed> crashes() {
    return crashes;
  }

  List<Note.SaidToLive> livenessClaims() {
    return livenessClaims;
  }

  List<Note.Forwarded> forwardings() {
    return forwardings;
  }

  /** Returns whether the node that a caller sent a request to has forwarded it to another node. */
  boolean isForwarded(Note.Sent sent) {
    return request(sent.request()).forwardingNodes().contains(sent.node());
  }

  List<Note.Surplus> surplusBytes() {
    return surplusBytes;
  }

  List<Note.ForeignReply> foreignReplies() {
    return foreignReplies;
  }

  List<Note.AnsweredAgain> secondReplies() {
    return secondReplies;
  }

  List<Note.SecondReplyUsed> usedSecondReplies() {
    return usedSecondReplies;
  }

  List<Note.OrderAnswered> orderAnswers() {
    return orderAnswers;
  }

  List<Note.OrderLogged> orderOutcomes() {
    return orderOutcomes;
  }

  List<Note.RateNamed> rateChanges() {
    return rateChanges;
  }

  List<Note.RateTold> rateAnnouncements() {
    return rateAnnouncements;
  }

  List<Note.LeavingTold> drainAnnouncements() {
    return drainAnnouncements;
  }

  List<Note.RestTold> backoffRequests() {
    return backoffRequests;
  }

  Collection<ConfigurationFacts> configurations() {
    return configurations.values();
  }

  /** Returns when a configuration was acknowledged, or {@link Long#MAX_VALUE} if it never was. */
  long acknowledgedMillis(long version) {
    return configurationAcks.getOrDefault(version, Long.MAX_VALUE);
  }

  /** Returns the newest configuration version that was acknowledged by a moment; 0 for none. */
  long newestAcknowledgedVersion(long moment) {
    return configurationAcks.entrySet().stream()
        .filter(entry -> entry.getValue() <= moment)
        .mapToLong(Map.Entry::getKey)
        .max()
        .orElse(0);
  }

  /**
   * Returns when weights newer than a version were first acknowledged, or {@link Long#MAX_VALUE} if
   * none were.
   */
  long newerWeightsAcknowledgedMillis(long version) {
    return weightAcks.entrySet().stream()
        .filter(entry -> entry.getKey() > version)
        .mapToLong(Map.Entry::getValue)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /**
   * Returns when the store acknowledged that a server drains, or {@link Long#MAX_VALUE} if it never
   * did.
   */
  long drainAcknowledgedMillis(String server) {
    return drainAcks.getOrDefault(server, Long.MAX_VALUE);
  }

  /** Returns when the process that a node runs at a moment was started; 0 if it is not recorded. */
  long processStartMillis(String node, long moment) {
    Long start = starts.getOrDefault(node, new TreeSet<>()).floor(moment);
    return start == null ? 0 : start;
  }

  /** Returns whether every node was started within a span. */
  boolean allStartedWithin(long from, long until) {
    return starts.keySet().stream().allMatch(node -> processStartMillis(node, until) >= from);
  }

  /**
   * Returns whether timed rules apply to a node or the store within a span: whether it was not
   * disrupted in the span and for {@link Bounds#contactMillis} before it.
   */
  boolean isStable(String machine, long from, long until) {
    return disruptions.isUndisrupted(machine, from - bounds.contactMillis(), until);
  }

  /** Returns whether the soak itself only delays something, rather than a process being away. */
  static boolean isDelay(String subject) {
    return subject.equals(PROXY)
        || subject.equals(HOST)
        || subject.contains(LINK_ARROW)
        || subject.startsWith(FORMER)
        || subject.startsWith(STALLED);
  }

  /** Returns the subject of a time in which the soak's proxy delayed connections of a link. */
  public static String delayedLink(String source, String destination) {
    return source + LINK_ARROW + destination;
  }

  /** Returns the subject of the time in which a node runs the previous build. */
  public static String previousBuild(String node) {
    return FORMER + node;
  }

  /** Returns the subject of a time in which a server's process was not scheduled. */
  public static String stalledServer(String server) {
    return STALLED + processOf(server);
  }

  /** Returns the name of a server's process, without the suffix of its incarnation. */
  private static String processOf(String server) {
    int end = server.indexOf('.');
    return end < 0 ? server : server.substring(0, end);
  }

  /** Returns whether the soak itself delayed nothing between a node and a server within a span. */
  boolean isForwardedInTime(String node, String server, long from, long until) {
    return isUndisrupted(PROXY, from, until)
        && isUndisrupted(delayedLink(node, processOf(server)), from, until)
        && isUndisrupted(stalledServer(server), from, until);
  }

  /** Returns whether a machine was not disrupted within a span, both ends included. */
  boolean isUndisrupted(String machine, long from, long until) {
    return disruptions.isUndisrupted(machine, from, until);
  }

  /** Returns whether one process of a node ran throughout a span, regardless of its links. */
  boolean ranThroughout(String node, long from, long until) {
    return processStartMillis(node, from) == processStartMillis(node, until)
        && disruptions.isRunning(node, from, until);
  }

  /** Returns the end of the last outage of a node, a server or the store; 0 if there is none. */
  long lastOutageEndMillis() {
    return disruptions.lastOutageEndMillis();
  }

  /** Returns {@link Disruptions#lastDisruptionEndMillis}. */
  long lastDisruptionEndMillis(long moment) {
    return disruptions.lastDisruptionEndMillis(moment);
  }

  /** Returns whether all events up to a moment must have been added. */
  boolean isFullyRecorded(long moment) {
    return moment + MAX_DELIVERY_MILLIS <= latestMillis;
  }
}
