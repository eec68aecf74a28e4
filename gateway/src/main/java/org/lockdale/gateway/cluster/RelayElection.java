package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.lockdale.coordination.placement.Rendezvous;

/**
 * Elects the relays: the few nodes that follow the shared store and place requests for all nodes.
 * No vote is needed, since surplus relays do no harm: a node that receives heartbeats from too few
 * relays becomes one itself after a delay that differs from node to node, and a relay that receives
 * heartbeats from enough more senior ones retires. Seniority prevents a relay that has collected
 * state from being replaced by one that has just started. Performs no I/O; the time is passed in.
 * Not thread-safe.
 */
public final class RelayElection {

  /** Number of relays that the election aims at. */
  static final int WANTED_RELAYS = 2;

  /** A relay without a heartbeat for this long counts as failed. */
  static final long SILENCE_MILLIS = 1_300;

  /** A relay that failed to respond is not used for this long. */
  static final long EXCLUSION_MILLIS = 3_000;

  /** Surplus relays keep serving for this long, until it is certain that the others stay. */
  static final long SURPLUS_MILLIS = 1_000;

  /**
   * Delays are spread over this time per node of the deployment, so that few nodes become relays at
   * the same moment.
   */
  private static final long DELAY_SPREAD_MILLIS = 300;

  private static final long MAX_DELAY_MILLIS = 30_000;

  /** The delays of nodes with the best links are divided by this. */
  private static final int PREFERRED_DIVISOR = 10;

  /**
   * The first delays after a start are divided by this if no relay has been heard, so that a relay
   * serves soon after a restart of all nodes. Larger values would let many nodes of a large
   * deployment serve before the first heartbeat reaches them.
   */
  private static final int START_DIVISOR = 4;

  /**
   * Maximum age of a relay's proof, the time at which its table copies were last known to be
   * current, for the relay to place requests and decide on limits. Another relay may have more
   * current copies, but each change of the relay loses its state of loads, cached prompts and
   * buckets, and the sender of a request checks the engine and its weights itself. With the bound
   * for copies of tables, two seconds, nodes switched between up to five relays and none, twice a
   * second, while the store's responses were seconds behind.
   */
  private static final long MAX_ELIGIBLE_PROOF_AGE_MILLIS = 10_000;

  /**
   * Maximum number of relays that receive load reports and placement queries; an unreachable store
   * makes many nodes serve as relays.
   */
  private static final int MAX_RELAYS = 3;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Placeholder for the address of this node, which sends itself no messages. */
  private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress(0);

  private static final Comparator<Relay> BY_SENIORITY =
      Comparator.comparingLong(Relay::sinceMillis).thenComparing(Relay::id);

  /**
   * A relay as of its latest heartbeat.
   *
   * @param id id of the node
   * @param address address at which it receives datagrams
   * @param sinceMillis time since which it serves, by the store's clock
   */
  public record Relay(String id, InetSocketAddress address, long sinceMillis) {}

  private record Heartbeat(Relay relay, long receivedAtMillis, long provenAtMillis) {}

  private final String selfId;
  private final long maxProofAgeMillis;
  private final boolean quickStart;
  private boolean heardRelay;
  private final Map<String, Heartbeat> lastHeartbeats = new HashMap<>();
  private final Map<String, Long> excludedUntil = new HashMap<>();
  private boolean serving;

  /** By the store's clock, so that all nodes compare the same values. */
  private long servingSinceMillis;

  private long surplusSinceMillis = NEVER;
  private long shortageSinceMillis = NEVER;
  private long shortages;

  /**
   * Creates the election of one node.
   *
   * @param selfId id of the node
   * @param maxProofAgeMillis age of the proof of its table copies from which on the election counts
   *     a relay as disconnected from the store
   */
  public RelayElection(String selfId, long maxProofAgeMillis) {
    this(selfId, maxProofAgeMillis, false);
  }

  /**
   * Creates the election of one node.
   *
   * @param selfId id of the node
   * @param maxProofAgeMillis age of the proof of its table copies from which on the election counts
   *     a relay as disconnected from the store
   * @param quickStart whether the node waits for a shorter time before it serves if it has heard no
   *     relay since its start
   */
  public RelayElection(String selfId, long maxProofAgeMillis, boolean quickStart) {
    this.quickStart = quickStart;
    this.selfId = selfId;
    this.maxProofAgeMillis = maxProofAgeMillis;
  }

  /**
   * Processes a heartbeat.
   *
   * @param id id of the relay
   * @param address address at which it receives datagrams
   * @param sinceMillis time since which it serves, by the store's clock
   * @param provenAtMillis time at which its table copies were last known to be current, by the
   *     monotonic clock of this node
   * @param nowMillis monotonic time
   */
  public void onHeartbeat(
      String id, InetSocketAddress address, long sinceMillis, long provenAtMillis, long nowMillis) {
    heardRelay = true;
    Relay relay = new Relay(id, address, sinceMillis);
    lastHeartbeats.put(id, new Heartbeat(relay, nowMillis, provenAtMillis));
  }

  /** Called when a relay has announced that it retires. */
  public void onRetired(String id) {
    lastHeartbeats.remove(id);
  }

  /** Called when a relay did not respond. */
  public void markUnresponsive(String id, long nowMillis) {
    excludedUntil.put(id, nowMillis + EXCLUSION_MILLIS);
  }

  /**
   * Decides whether this node starts or stops serving as a relay; to be called periodically.
   *
   * @param nodes number of nodes of the deployment
   * @param preferred whether no node has a better link than this one
   * @param nowMillis monotonic time
   * @param storeMillis time by the store's clock
   */
  public void tick(int nodes, boolean preferred, long nowMillis, long storeMillis) {
    lastHeartbeats
        .values()
        .removeIf(entry -> nowMillis - entry.receivedAtMillis() > SILENCE_MILLIS);
    excludedUntil.values().removeIf(until -> until <= nowMillis);
    if (serving) {
      considerRetiring(nowMillis);
    } else {
      considerServing(nodes, preferred, nowMillis, storeMillis);
    }
  }

  private void considerServing(int nodes, boolean preferred, long nowMillis, long storeMillis) {
    if (usable(nowMillis).size() >= WANTED_RELAYS) {
      shortageSinceMillis = NEVER;
      return;
    }
    if (shortageSinceMillis == NEVER) {
      shortageSinceMillis = nowMillis;
      shortages++;
    }
    if (nowMillis - shortageSinceMillis >= delayMillis(nodes, preferred)) {
      serving = true;
      servingSinceMillis = storeMillis;
      surplusSinceMillis = NEVER;
    }
  }

  private long delayMillis(int nodes, boolean preferred) {
    long spread = Math.min(MAX_DELAY_MILLIS, nodes * DELAY_SPREAD_MILLIS);
    long linkRange = preferred ? spread / PREFERRED_DIVISOR : spread;
    long range = quickStart && !heardRelay ? linkRange / START_DIVISOR : linkRange;
    long hash = Rendezvous.weight(shortages, Rendezvous.identityOf(selfId));
    return Math.floorMod(hash, Math.max(1, range));
  }

  private void considerRetiring(long nowMillis) {
    long senior = usable(nowMillis).stream().filter(this::isSenior).count();
    if (senior < WANTED_RELAYS) {
      surplusSinceMillis = NEVER;
      return;
    }
    if (surplusSinceMillis == NEVER) {
      surplusSinceMillis = nowMillis;
    }
    if (nowMillis - surplusSinceMillis >= SURPLUS_MILLIS) {
      serving = false;
      shortageSinceMillis = NEVER;
    }
  }

  private boolean isSenior(Relay relay) {
    return compareSeniority(relay.sinceMillis(), relay.id(), servingSinceMillis, selfId) < 0;
  }

  private static int compareSeniority(
      long sinceMillis, String id, long otherSinceMillis, String otherId) {
    int bySeniority = Long.compare(sinceMillis, otherSinceMillis);
    return bySeniority != 0 ? bySeniority : id.compareTo(otherId);
  }

  /** Returns the ids of the relays with recent heartbeats. */
  public Set<String> heard(long nowMillis) {
    Set<String> heard = new TreeSet<>();
    withHeartbeatWithin(SILENCE_MILLIS + 1, nowMillis).forEach(relay -> heard.add(relay.id()));
    return heard;
  }

  /** Returns whether a relay with a recent heartbeat counts as connected to the store. */
  public boolean hearsConnectedRelay(long nowMillis) {
    return !usable(nowMillis).isEmpty();
  }

  private boolean isProven(Heartbeat heartbeat, long nowMillis) {
    return nowMillis - heartbeat.provenAtMillis() <= maxProofAgeMillis;
  }

  private List<Relay> usable(long nowMillis) {
    List<Relay> usable = new ArrayList<>();
    for (Heartbeat entry : lastHeartbeats.values()) {
      boolean silent = nowMillis - entry.receivedAtMillis() > SILENCE_MILLIS;
      boolean proven = isProven(entry, nowMillis);
      if (!silent && proven && !excludedUntil.containsKey(entry.relay().id())) {
        usable.add(entry.relay());
      }
    }
    return usable;
  }

  /** Stops serving at once, as before a planned stop. */
  public void retire() {
    serving = false;
    shortageSinceMillis = NEVER;
  }

  /** Returns whether this node serves as a relay. */
  public boolean isServing() {
    return serving;
  }

  /** Returns the time since which this node has served, by the store's clock. */
  public long servingSinceMillis() {
    return servingSinceMillis;
  }

  /** Returns the other relays that place requests, the most senior first. */
  public List<Relay> relays(long nowMillis) {
    return eligible(SILENCE_MILLIS + 1, nowMillis).stream()
        .sorted(BY_SENIORITY)
        .limit(MAX_RELAYS)
        .toList();
  }

  /**
   * Returns the ids of the relays that may decide on limits, the most senior first; this node if
   * there is none. A relay without heartbeats is dropped sooner than for placement. One that no
   * longer reaches the store is kept for longer than in the election, since it can enforce limits
   * without the store. If no relay reaches the store, all with recent heartbeats may decide.
   *
   * @param maxSilenceMillis longest time since a relay's last heartbeat
   * @param nowMillis monotonic time
   */
  public List<String> limitRelays(long maxSilenceMillis, long nowMillis) {
    List<Relay> candidates = eligible(maxSilenceMillis, nowMillis);
    if (serving || candidates.isEmpty()) {
      candidates.add(new Relay(selfId, UNUSED_ADDRESS, servingSinceMillis));
    }
    return candidates.stream().sorted(BY_SENIORITY).map(Relay::id).toList();
  }

  /**
   * Returns the relays with recent heartbeats and proofs; if no proof is recent, all with recent
   * heartbeats.
   */
  private List<Relay> eligible(long maxSilenceMillis, long nowMillis) {
    List<Relay> candidates = withHeartbeatWithin(maxSilenceMillis, nowMillis);
    List<Relay> proven = new ArrayList<>(candidates);
    proven.removeIf(
        relay ->
            nowMillis - lastHeartbeats.get(relay.id()).provenAtMillis()
                > MAX_ELIGIBLE_PROOF_AGE_MILLIS);
    return proven.isEmpty() ? candidates : proven;
  }

  private List<Relay> withHeartbeatWithin(long maxSilenceMillis, long nowMillis) {
    List<Relay> within = new ArrayList<>();
    for (Heartbeat entry : lastHeartbeats.values()) {
      boolean silent = nowMillis - entry.receivedAtMillis() >= maxSilenceMillis;
      if (!silent && !excludedUntil.containsKey(entry.relay().id())) {
        within.add(entry.relay());
      }
    }
    return within;
  }

  /** Returns the relay that places requests, or empty if this node does so itself. */
  public Optional<Relay> coordinator(long nowMillis) {
    List<Relay> relays = relays(nowMillis);
    if (relays.isEmpty() || serving && !isSenior(relays.get(0))) {
      return Optional.empty();
    }
    return Optional.of(relays.get(0));
  }
}
