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

/** All notes of a run, indexed by what the rules ask. Notes may come in any order. */
public final class History {

  /** Subject of a disruption of the store. */
  public static final String CORE = "store";

  /** Subject of a disruption of the whole machine that the soak runs on. */
  public static final String EVERYTHING = "*";

  /** Subject of the time in which the soak's proxy was not run. */
  public static final String PROXY = "proxy";

  /**
   * Notes reach the judge through a pipe; after this time a note that has not come was not written.
   * Ten times the longest way seen on a machine with twice as many busy threads as cores.
   */
  private static final long SETTLE_MILLIS = 2_000;

  private final Bounds bounds;
  private final Map<String, RequestStory> requests = new LinkedHashMap<>();
  private final Map<String, Note.Begun> runs = new HashMap<>();
  private final Map<String, Note.Ended> ends = new HashMap<>();
  private final List<Note.PartsUsed> partsUsed = new ArrayList<>();
  private final List<Note.Ordered> orders = new ArrayList<>();
  private final List<Note.Crashed> crashes = new ArrayList<>();
  private final List<Note.SaidToLive> saidToLive = new ArrayList<>();
  private final List<Note.Surplus> surplus = new ArrayList<>();
  private final List<Note.RateNamed> ratesNamed = new ArrayList<>();
  private final List<Note.RateTold> ratesTold = new ArrayList<>();
  private final List<Note.LeavingTold> leavingsTold = new ArrayList<>();
  private final List<Note.RestTold> restsTold = new ArrayList<>();
  private final Map<Long, ConfigurationFacts> configurations = new LinkedHashMap<>();
  private final Map<Long, Long> configurationAcks = new HashMap<>();
  private final Map<Long, Long> weightAcks = new HashMap<>();
  private final Map<String, Long> leavingAcks = new HashMap<>();
  private final Map<String, NavigableSet<Long>> starts = new HashMap<>();
  private final Disruptions disruptions = new Disruptions();
  private long latestMillis;

  /** Creates an empty history. */
  public History(Bounds bounds) {
    this.bounds = bounds;
  }

  /** Adds a note. */
  public void add(Note note) {
    latestMillis = Math.max(latestMillis, note.atMillis());
    if (!addOfRequest(note)) {
      addOfControl(note);
    }
  }

  private boolean addOfRequest(Note note) {
    if (note instanceof Note.Sent sent) {
      request(sent.request()).setSent(sent);
    } else if (note instanceof Note.Answered answered) {
      request(answered.request()).setAnswer(answered);
    } else if (note instanceof Note.Left left) {
      request(left.request()).setLeft(left);
    } else if (note instanceof Note.Arrived arrived) {
      request(arrived.request()).arrivals().add(arrived);
    } else if (note instanceof Note.Begun begun) {
      request(begun.request()).runs().add(begun);
      runs.put(begun.run(), begun);
    } else if (note instanceof Note.Ended ended) {
      ends.put(ended.run(), ended);
    } else if (note instanceof Note.PartsUsed used) {
      partsUsed.add(used);
    } else if (note instanceof Note.Crashed crashed) {
      crashes.add(crashed);
    } else if (note instanceof Note.SaidToLive said) {
      saidToLive.add(said);
    } else if (note instanceof Note.Surplus bytes) {
      surplus.add(bytes);
    } else if (note instanceof Note.RateTold told) {
      ratesTold.add(told);
    } else if (note instanceof Note.LeavingTold told) {
      leavingsTold.add(told);
    } else if (note instanceof Note.RestTold told) {
      restsTold.add(told);
    } else {
      return note instanceof Note.Rejected;
    }
    return true;
  }

  private void addOfControl(Note note) {
    if (note instanceof Note.Ordered ordered) {
      orders.add(ordered);
    } else if (note instanceof Note.ConfigurationSent sent) {
      configurations.put(sent.facts().version(), sent.facts());
    } else if (note instanceof Note.ConfigurationAcknowledged acknowledged) {
      configurationAcks.put(acknowledged.version(), acknowledged.atMillis());
    } else if (note instanceof Note.WeightsAcknowledged named) {
      weightAcks.put(named.version(), named.atMillis());
    } else if (note instanceof Note.LeavingAcknowledged leaving) {
      leavingAcks.merge(leaving.server(), leaving.atMillis(), Math::min);
    } else if (note instanceof Note.Started started) {
      starts.computeIfAbsent(started.node(), node -> new TreeSet<>()).add(started.atMillis());
    } else if (note instanceof Note.RateNamed named) {
      ratesNamed.add(named);
    } else if (note instanceof Note.DisruptionBegan began) {
      disruptions.began(began);
    } else if (note instanceof Note.DisruptionEnded ended) {
      disruptions.ended(ended);
    }
  }

  RequestStory request(String id) {
    return requests.computeIfAbsent(id, RequestStory::new);
  }

  Bounds bounds() {
    return bounds;
  }

  Collection<RequestStory> requests() {
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

  List<Note.SaidToLive> saidToLive() {
    return saidToLive;
  }

  List<Note.Surplus> surplus() {
    return surplus;
  }

  List<Note.RateNamed> ratesNamed() {
    return ratesNamed;
  }

  List<Note.RateTold> ratesTold() {
    return ratesTold;
  }

  List<Note.LeavingTold> leavingsTold() {
    return leavingsTold;
  }

  List<Note.RestTold> restsTold() {
    return restsTold;
  }

  Collection<ConfigurationFacts> configurations() {
    return configurations.values();
  }

  /** Returns when a configuration was acknowledged, or never. */
  long acknowledged(long version) {
    return configurationAcks.getOrDefault(version, Long.MAX_VALUE);
  }

  /** Returns the newest configuration that was acknowledged by a moment; 0 for none. */
  long newestAcknowledged(long moment) {
    return configurationAcks.entrySet().stream()
        .filter(entry -> entry.getValue() <= moment)
        .mapToLong(Map.Entry::getKey)
        .max()
        .orElse(0);
  }

  /** Returns when weights newer than a version were first acknowledged, or never. */
  long newerWeightsAcknowledged(long version) {
    return weightAcks.entrySet().stream()
        .filter(entry -> entry.getKey() > version)
        .mapToLong(Map.Entry::getValue)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Returns when a server's leaving was acknowledged, or never. */
  long leavingAcknowledged(String server) {
    return leavingAcks.getOrDefault(server, Long.MAX_VALUE);
  }

  /** Returns when the process that a node runs at a moment was started. */
  long lifeOf(String node, long moment) {
    Long start = starts.getOrDefault(node, new TreeSet<>()).floor(moment);
    return start == null ? 0 : start;
  }

  /** Returns whether a node, or the store, was undisrupted long enough and until a moment. */
  boolean inTouch(String machine, long from, long until) {
    return disruptions.isFree(machine, from - bounds.contactMillis(), until);
  }

  /** Returns the subject of the time in which the soak's proxy held a link's connections up. */
  public static String linkHeldUp(String source, String destination) {
    return source + ">" + destination;
  }

  /** Returns the subject of the time in which a node runs a former build. */
  public static String former(String node) {
    return "former " + node;
  }

  /** Returns the subject of the time in which a server's process was not run. */
  public static String stalled(String server) {
    return "stalled " + processOf(server);
  }

  /** Returns the name of a server's process, whatever its life. */
  private static String processOf(String server) {
    int end = server.indexOf('.');
    return end < 0 ? server : server.substring(0, end);
  }

  /** Returns whether the soak itself passed nothing on late from a node to a server. */
  boolean isPassedInTime(String node, String server, long from, long until) {
    return undisrupted(PROXY, from, until)
        && undisrupted(linkHeldUp(node, processOf(server)), from, until)
        && undisrupted(stalled(server), from, until);
  }

  /** Returns whether a machine was undisrupted within a span. */
  boolean undisrupted(String machine, long from, long until) {
    return disruptions.isFree(machine, from, until);
  }

  /** Returns whether one process of a node ran all through a span, whatever its links did. */
  boolean ranOn(String node, long from, long until) {
    return lifeOf(node, from) == lifeOf(node, until) && disruptions.isRunning(node, from, until);
  }

  long stableSince(long moment) {
    return disruptions.stableSince(moment);
  }

  /** Returns whether all that happened by a moment has been noted. */
  boolean isSettled(long moment) {
    return moment + SETTLE_MILLIS <= latestMillis;
  }
}
