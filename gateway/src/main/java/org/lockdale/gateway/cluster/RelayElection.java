package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lockdale.coordination.placement.Rendezvous;

/**
 * Decides which nodes serve as relays: the few that follow the store and place requests on behalf
 * of all. No vote is needed, since several relays do no harm: a node that hears too few of them
 * serves after a delay of its own, and one that hears enough senior ones ceases to. Seniority keeps
 * a relay that knows much from being replaced by one that has just come. Without I/O; time is
 * injected; not safe for use by several threads.
 */
public final class RelayElection {

  /** Relays that are wanted at any time. */
  static final int WANTED = 2;

  /** A relay that was not heard of for this long counts as gone. */
  static final long SILENCE_MILLIS = 1_300;

  /** A relay that failed to answer is left alone for this long. */
  static final long DISTRUST_MILLIS = 3_000;

  /** Surplus relays go on for this long, until it is certain that the others stay. */
  static final long SURPLUS_MILLIS = 1_000;

  /** Delays are spread over this time for each node, so that few serve at the same moment. */
  private static final long DELAY_SPREAD_MILLIS = 300;

  private static final long MAX_DELAY_MILLIS = 30_000;

  /** Nodes with the best links wait for this part of the delay only. */
  private static final int PREFERRED_DIVISOR = 10;

  /**
   * Age of its proof from which on a relay no longer places requests or decides on limits. Another
   * one may know the store better, but each change of the relay costs what it knew of loads, cached
   * prompts and buckets, and who sends a request checks engine and weights itself. With the bound
   * for copies of tables, two seconds, nodes passed through up to five relays and none, twice a
   * second, while the store's answers were seconds behind.
   */
  private static final long MAX_DECIDING_PROOF_AGE_MILLIS = 10_000;

  /** Relays that are told of loads and asked, where a store out of reach makes many serve. */
  private static final int MAX_TOLD = 3;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** This node needs no address of itself. */
  private static final InetSocketAddress NOWHERE = new InetSocketAddress(0);

  private static final Comparator<Relay> BY_SENIORITY =
      Comparator.comparingLong(Relay::sinceMillis).thenComparing(Relay::id);

  /**
   * A relay as last heard.
   *
   * @param id id of the node
   * @param address where it is reached
   * @param sinceMillis since when it serves, by the store's clock
   */
  public record Relay(String id, InetSocketAddress address, long sinceMillis) {}

  private record Heard(Relay relay, long heardAtMillis, long provenAtMillis) {}

  private final String selfId;
  private final long maxProofAgeMillis;
  private final Map<String, Heard> heard = new HashMap<>();
  private final Map<String, Long> distrustedUntil = new HashMap<>();
  private boolean serving;

  /** By the store's clock, so that all nodes compare the same numbers. */
  private long servingSinceMillis;

  private long surplusSinceMillis = NEVER;
  private long lackingSinceMillis = NEVER;
  private long delays;

  /**
   * Creates the election of one node.
   *
   * @param selfId id of the node
   * @param maxProofAgeMillis age of the proof of its copies from which on a relay is taken to have
   *     lost the store
   */
  public RelayElection(String selfId, long maxProofAgeMillis) {
    this.selfId = selfId;
    this.maxProofAgeMillis = maxProofAgeMillis;
  }

  /**
   * Takes in a heartbeat.
   *
   * @param id id of the relay
   * @param address where it is reached
   * @param sinceMillis since when it serves, by the store's clock
   * @param provenAtMillis when its copies were current, by the monotonic clock of this node
   * @param nowMillis monotonic time
   */
  public void heard(
      String id, InetSocketAddress address, long sinceMillis, long provenAtMillis, long nowMillis) {
    Relay relay = new Relay(id, address, sinceMillis);
    heard.put(id, new Heard(relay, nowMillis, provenAtMillis));
  }

  /** Takes in that a relay has ceased to serve. */
  public void retired(String id) {
    heard.remove(id);
  }

  /** Takes in that a relay did not answer. */
  public void failed(String id, long nowMillis) {
    distrustedUntil.put(id, nowMillis + DISTRUST_MILLIS);
  }

  /**
   * Decides anew whether this node serves.
   *
   * @param nodes number of nodes of the deployment
   * @param preferred whether no node has a better link than this one
   * @param nowMillis monotonic time
   * @param storeMillis time by the store's clock
   */
  public void tick(int nodes, boolean preferred, long nowMillis, long storeMillis) {
    heard.values().removeIf(entry -> nowMillis - entry.heardAtMillis() > SILENCE_MILLIS);
    distrustedUntil.values().removeIf(until -> until <= nowMillis);
    if (serving) {
      considerRetiring(nowMillis);
    } else {
      considerServing(nodes, preferred, nowMillis, storeMillis);
    }
  }

  private void considerServing(int nodes, boolean preferred, long nowMillis, long storeMillis) {
    if (usable(nowMillis).size() >= WANTED) {
      lackingSinceMillis = NEVER;
      return;
    }
    if (lackingSinceMillis == NEVER) {
      lackingSinceMillis = nowMillis;
      delays++;
    }
    if (nowMillis - lackingSinceMillis >= delayMillis(nodes, preferred)) {
      serving = true;
      servingSinceMillis = storeMillis;
      surplusSinceMillis = NEVER;
    }
  }

  private long delayMillis(int nodes, boolean preferred) {
    long spread = Math.min(MAX_DELAY_MILLIS, nodes * DELAY_SPREAD_MILLIS);
    long range = preferred ? spread / PREFERRED_DIVISOR : spread;
    long hash = Rendezvous.weight(delays, Rendezvous.identityOf(selfId));
    return Math.floorMod(hash, Math.max(1, range));
  }

  private void considerRetiring(long nowMillis) {
    long senior = usable(nowMillis).stream().filter(this::isSenior).count();
    if (senior < WANTED) {
      surplusSinceMillis = NEVER;
      return;
    }
    if (surplusSinceMillis == NEVER) {
      surplusSinceMillis = nowMillis;
    }
    if (nowMillis - surplusSinceMillis >= SURPLUS_MILLIS) {
      serving = false;
      lackingSinceMillis = NEVER;
    }
  }

  private boolean isSenior(Relay relay) {
    return order(relay.sinceMillis(), relay.id(), servingSinceMillis, selfId) < 0;
  }

  private static int order(long sinceMillis, String id, long otherSinceMillis, String otherId) {
    int bySeniority = Long.compare(sinceMillis, otherSinceMillis);
    return bySeniority != 0 ? bySeniority : id.compareTo(otherId);
  }

  private List<Relay> usable(long nowMillis) {
    List<Relay> usable = new ArrayList<>();
    for (Heard entry : heard.values()) {
      boolean silent = nowMillis - entry.heardAtMillis() > SILENCE_MILLIS;
      boolean proven = nowMillis - entry.provenAtMillis() <= maxProofAgeMillis;
      if (!silent && proven && !distrustedUntil.containsKey(entry.relay().id())) {
        usable.add(entry.relay());
      }
    }
    return usable;
  }

  /** Ceases to serve at once, as before a planned stop. */
  public void retire() {
    serving = false;
    lackingSinceMillis = NEVER;
  }

  /** Returns whether this node serves. */
  public boolean isServing() {
    return serving;
  }

  /** Returns since when this node has served, by the store's clock. */
  public long servingSinceMillis() {
    return servingSinceMillis;
  }

  /** Returns the other relays that place requests, the most senior first. */
  public List<Relay> relays(long nowMillis) {
    return deciding(SILENCE_MILLIS + 1, nowMillis).stream()
        .sorted(BY_SENIORITY)
        .limit(MAX_TOLD)
        .toList();
  }

  /**
   * Returns the ids of the relays that may decide on limits, the most senior first; this node where
   * there is none. One that has fallen silent is left sooner than for placement, and one that has
   * lost the store later, as it can keep to limits without it. Where no relay reaches the store,
   * all that are heard may decide.
   *
   * @param maxSilenceMillis longest time since a relay's last heartbeat
   * @param nowMillis monotonic time
   */
  public List<String> deciders(long maxSilenceMillis, long nowMillis) {
    List<Relay> candidates = deciding(maxSilenceMillis, nowMillis);
    if (serving || candidates.isEmpty()) {
      candidates.add(new Relay(selfId, NOWHERE, servingSinceMillis));
    }
    return candidates.stream().sorted(BY_SENIORITY).map(Relay::id).toList();
  }

  /**
   * Returns the relays that were heard and know the store; where none does, all that were heard.
   */
  private List<Relay> deciding(long maxSilenceMillis, long nowMillis) {
    List<Relay> candidates = heardWithin(maxSilenceMillis, nowMillis);
    List<Relay> proven = new ArrayList<>(candidates);
    proven.removeIf(
        relay ->
            nowMillis - heard.get(relay.id()).provenAtMillis() > MAX_DECIDING_PROOF_AGE_MILLIS);
    return proven.isEmpty() ? candidates : proven;
  }

  private List<Relay> heardWithin(long maxSilenceMillis, long nowMillis) {
    List<Relay> within = new ArrayList<>();
    for (Heard entry : heard.values()) {
      boolean silent = nowMillis - entry.heardAtMillis() >= maxSilenceMillis;
      if (!silent && !distrustedUntil.containsKey(entry.relay().id())) {
        within.add(entry.relay());
      }
    }
    return within;
  }

  /** Returns the relay that places requests, or empty where this node does so itself. */
  public Optional<Relay> coordinator(long nowMillis) {
    List<Relay> relays = relays(nowMillis);
    if (relays.isEmpty() || serving && !isSenior(relays.get(0))) {
      return Optional.empty();
    }
    return Optional.of(relays.get(0));
  }
}
