package org.lockdale.gateway.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The requests that wait for room, in their order: by priority, then those that can still meet
 * their objective, then by fair shares of the tenants, then by arrival. A less urgent ticket gets
 * no room that a more urgent one could use. Holds up to {@link #MAX_TICKETS}. Performs no I/O. Not
 * thread-safe.
 */
public final class AdmissionQueue {

  /** Maximum number of tickets; the requests themselves are held by their nodes. */
  public static final int MAX_TICKETS = 4_096;

  /**
   * Time for which smaller tickets may pass one that fits nowhere, in milliseconds. An engine is
   * then kept for it.
   */
  private static final long MAX_PASSING_MILLIS = 50;

  /**
   * Maximum number of tickets of one priority that are tried in vain in one pass, so that a pass
   * over a long queue takes little processor time.
   */
  private static final int MAX_FAILED_TRIES = 32;

  /** What became of a ticket that was tried. */
  public enum Trial {
    /** It no longer waits. */
    ADMITTED,
    /** No engine of the pool has room for it. */
    NO_ROOM,
    /** None of the engines that only it is restricted to has room for it. */
    RESTRICTED
  }

  /** Admits tickets to engines. */
  public interface Admitter {

    /**
     * Tries to admit a ticket.
     *
     * @param ticket the ticket
     * @param lookAheadMillis time that it may wait at an engine, in milliseconds
     */
    Trial tryAdmit(Ticket ticket, long lookAheadMillis);

    /** Keeps the next engine with enough memory for a ticket. */
    void reserve(Ticket ticket);

    /** Returns whether an engine is kept for a ticket, which then is tried in each pass. */
    default boolean hasReservation(Ticket ticket) {
      return false;
    }
  }

  /** Lanes of a pool by priority, the most urgent first. */
  private final Map<String, TreeMap<Integer, AdmissionLane>> pools = new HashMap<>();

  private final Map<Ticket.Key, AdmissionLane.Entry> entries = new HashMap<>();

  /**
   * Adds a ticket.
   *
   * @return whether there is space for it; false also if it waits already
   */
  public boolean add(Ticket ticket, long nowMillis) {
    if (entries.size() >= MAX_TICKETS || entries.containsKey(ticket.key())) {
      return false;
    }
    AdmissionLane lane =
        pools
            .computeIfAbsent(ticket.pool(), pool -> new TreeMap<>())
            .computeIfAbsent(ticket.terms().priority(), priority -> new AdmissionLane());
    entries.put(ticket.key(), lane.add(ticket, nowMillis));
    return true;
  }

  /** Removes a ticket that no longer waits; ignored if it is unknown. */
  public void remove(Ticket.Key key) {
    AdmissionLane.Entry entry = entries.remove(key);
    if (entry != null) {
      laneOf(entry.ticket).withdraw(entry);
    }
  }

  private AdmissionLane laneOf(Ticket ticket) {
    AdmissionLane lane =
        pools.getOrDefault(ticket.pool(), new TreeMap<>()).get(ticket.terms().priority());
    if (lane == null) {
      throw new IllegalStateException("a ticket of pool " + ticket.pool() + " has no lane");
    }
    return lane;
  }

  /** Returns whether a ticket waits. */
  public boolean contains(Ticket.Key key) {
    return entries.containsKey(key);
  }

  /** Returns the number of tickets of a pool with a priority or a more urgent one. */
  public int waitingUpTo(String pool, int priority) {
    int tickets = 0;
    for (AdmissionLane lane :
        pools.getOrDefault(pool, new TreeMap<>()).headMap(priority, true).values()) {
      tickets += lane.size();
    }
    return tickets;
  }

  /** Returns the number of tickets. */
  public int size() {
    return entries.size();
  }

  /** Returns the pools for which there are or were tickets. */
  public Set<String> pools() {
    return Set.copyOf(pools.keySet());
  }

  /** Returns the tickets of a pool in their order. */
  public List<Ticket> inOrder(String pool, long nowMillis) {
    List<Ticket> tickets = new ArrayList<>();
    for (AdmissionLane lane : pools.getOrDefault(pool, new TreeMap<>()).values()) {
      lane.refresh(nowMillis);
      lane.inOrder().forEach(entry -> tickets.add(entry.ticket));
    }
    return tickets;
  }

  /** Admits the tickets of a pool in their order as far as there is room. */
  public void admit(String pool, long nowMillis, Admitter admitter) {
    long lookAhead = Long.MAX_VALUE;
    for (AdmissionLane lane : pools.getOrDefault(pool, new TreeMap<>()).values()) {
      Pass pass = new Pass(lane, nowMillis, admitter, lookAhead);
      pass.run();
      if (pass.failedTries >= MAX_FAILED_TRIES) {
        // More urgent tickets that were not tried could use the room that is left.
        return;
      }
      lookAhead = pass.nextLookAhead;
    }
  }

  /** What the room for a ticket depends on besides its size. */
  private record Need(@Nullable String model, long lookAheadMillis) {}

  /** One pass over the tickets of one lane. */
  private final class Pass {

    private final AdmissionLane lane;
    private final long nowMillis;
    private final Admitter admitter;
    private final List<AdmissionLane.Entry> blocked = new ArrayList<>();

    /** Shortest look-ahead of the tickets that were tried in vain so far. */
    private long nextLookAhead;

    private int failedTries;

    /** Size from which tickets have been tried in vain in this pass. */
    private final Map<Need, Long> failedSizes = new HashMap<>();

    Pass(AdmissionLane lane, long nowMillis, Admitter admitter, long maxLookAhead) {
      this.lane = lane;
      this.nowMillis = nowMillis;
      this.admitter = admitter;
      this.nextLookAhead = maxLookAhead;
    }

    void run() {
      lane.refresh(nowMillis);
      for (AdmissionLane.Entry entry : lane.inOrder()) {
        if (failedTries >= MAX_FAILED_TRIES) {
          return;
        }
        AdmissionLane.Entry late = lane.turnOfLate();
        if (late != null && late != entry && !blocked.contains(late)) {
          tryEntry(late);
        }
        if (entries.containsKey(entry.ticket.key()) && !blocked.contains(entry)) {
          tryEntry(entry);
        }
      }
    }

    private void tryEntry(AdmissionLane.Entry entry) {
      Ticket ticket = entry.ticket;
      // A ticket with a longer objective must not fill the engines before one that waits ahead of
      // it.
      long lookAhead = Math.min(nextLookAhead, RoomPolicy.lookAheadMillis(ticket.terms()));
      long size = RoomPolicy.allocatedTokens(ticket.terms());
      Need need = new Need(ticket.model(), lookAhead);
      boolean hasFailed = size >= failedSizes.getOrDefault(need, Long.MAX_VALUE);
      if (hasFailed && !admitter.hasReservation(ticket)) {
        return;
      }
      Trial trial = admitter.tryAdmit(ticket, lookAhead);
      if (trial == Trial.ADMITTED) {
        if (entries.remove(ticket.key()) != null) {
          lane.recordAdmitted(entry);
        }
        blocked.forEach(this::recordPassed);
        return;
      }
      failedTries++;
      blocked.add(entry);
      if (trial == Trial.RESTRICTED) {
        return;
      }
      failedSizes.put(need, size);
      nextLookAhead = Math.min(nextLookAhead, lookAhead);
      if (entry.passedSinceMillis >= 0
          && nowMillis - entry.passedSinceMillis >= MAX_PASSING_MILLIS) {
        admitter.reserve(ticket);
      }
    }

    private void recordPassed(AdmissionLane.Entry entry) {
      if (entry.passedSinceMillis < 0) {
        entry.passedSinceMillis = nowMillis;
      }
    }
  }

  /** Returns the lengths of the queues by pool and priority. */
  public List<AdmissionMetrics.Waiting> lengths(long nowMillis) {
    List<AdmissionMetrics.Waiting> lengths = new ArrayList<>();
    pools.forEach(
        (pool, lanes) ->
            lanes.forEach(
                (priority, lane) ->
                    lengths.add(
                        new AdmissionMetrics.Waiting(
                            pool, priority, lane.size(), lane.oldestMillis(nowMillis)))));
    return lengths;
  }
}
