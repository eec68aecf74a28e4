package org.lockdale.gateway.cluster;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.admission.AdmissionMetrics;
import org.lockdale.gateway.admission.AdmissionMetrics.Cause;
import org.lockdale.gateway.admission.AdmissionQueue;
import org.lockdale.gateway.admission.AdmissionTerms;
import org.lockdale.gateway.admission.RoomForecast;
import org.lockdale.gateway.admission.RoomPolicy;
import org.lockdale.gateway.admission.Ticket;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.configuration.Pool;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementDecider;
import org.lockdale.gateway.placement.PlacementQuery;
import org.lockdale.gateway.placement.PlacementResult;

/**
 * Admits requests to engines with room, in the order of the queue, and refuses those that can't be
 * served in their time. Performs no I/O. Confined to one thread.
 */
final class AdmissionController {

  /**
   * Shortest time between two passes over the queue that arrivals cause, in milliseconds; passes
   * that find no room would otherwise take the processor time of a small node.
   */
  private static final long MIN_PASS_INTERVAL_MILLIS = 2;

  /** When to try again a request that may have run and for which the queue has no space. */
  private static final long FULL_RETRY_MILLIS = 100;

  /**
   * Time after the patience of its caller for which a request that may have run is kept. It is
   * never refused, and its node withdraws it; this ends it where the node was killed.
   */
  private static final long ABANDONED_MILLIS = 5_000;

  /** Receives what becomes of a ticket. */
  interface Listener {

    /** Called once, when the ticket no longer waits. */
    void onResult(PlacementResult result);

    /**
     * Called when the ticket begins to wait, and by {@link #review}.
     *
     * @param position number of tickets ahead of it
     * @param expectedMillis expected further wait, in milliseconds
     */
    void onHeld(int position, long expectedMillis);
  }

  private final PlacementDecider decider;
  private final AdmissionCandidates candidates;
  private final EngineRooms rooms;
  private final Function<String, @Nullable Pool> pools;
  private final AdmissionMetrics metrics;
  private final Time time;
  private final AdmissionQueue queue = new AdmissionQueue();
  private final Map<Ticket.Key, WaitingTicket> waiting = new HashMap<>();
  private final WaitForecasts forecasts;

  /** Engines that are kept for a ticket, by pool. */
  private final Map<String, Reservation> reservations = new HashMap<>();

  private final Map<String, Long> lastPassMillis = new HashMap<>();

  /** Whether a silent engine was tried in this pass. */
  private boolean silentTried;

  private final RefusalLog refusals;

  /** An engine that is kept for a ticket. */
  private record Reservation(String engine, Ticket ticket) {}

  /**
   * Creates a controller.
   *
   * @param decider decides which engine serves a request
   * @param rooms state of the engines
   * @param pools supplies a pool by its name, or null if it is unknown
   * @param metrics counts admissions and refusals
   * @param time clock
   */
  AdmissionController(
      PlacementDecider decider,
      EngineRooms rooms,
      Function<String, @Nullable Pool> pools,
      AdmissionMetrics metrics,
      Time time) {
    this.decider = decider;
    this.rooms = rooms;
    this.pools = pools;
    this.metrics = metrics;
    this.time = time;
    this.refusals = new RefusalLog(time);
    this.candidates = new AdmissionCandidates(decider, time);
    this.forecasts = new WaitForecasts(queue, waiting, candidates, rooms, pools, time);
  }

  /** Returns whether a ticket waits. */
  boolean isWaiting(Ticket.Key key) {
    return waiting.containsKey(key);
  }

  /** Returns whether any ticket waits. */
  boolean hasTickets() {
    return !waiting.isEmpty();
  }

  /**
   * Admits a request, has it wait, or refuses it. Ignored if it waits already.
   *
   * @param key identifies the request
   * @param query the request, with terms
   * @param terms its terms
   * @param forThisNode whether it is a request of this node
   * @param listener receives what becomes of it
   */
  void submit(
      Ticket.Key key,
      PlacementQuery query,
      AdmissionTerms terms,
      boolean forThisNode,
      Listener listener) {
    if (waiting.containsKey(key)) {
      return;
    }
    long now = time.monotonicMillis();
    long computed =
        query.parts().isEmpty() ? 0 : query.parts().get(query.parts().size() - 1).tokens();
    Ticket ticket = Ticket.of(key, query.pool(), query.model(), terms, computed, now);
    WaitingTicket added = new WaitingTicket(ticket, query, forThisNode, listener);
    if (RoomPolicy.isTooLarge(memoryTokens(query.pool()), terms) && !terms.possiblyRun()) {
      refuse(added, Cause.TOO_LARGE, 0, 0);
      return;
    }
    if (!queue.add(ticket, now)) {
      if (terms.possiblyRun()) {
        listener.onResult(new PlacementResult.RetryLater(FULL_RETRY_MILLIS));
      } else {
        long patience = Math.max(0, ticket.lastMillis() - now);
        refuse(added, Cause.FULL, patience, patience);
      }
      return;
    }
    waiting.put(key, added);
    long lastPass = lastPassMillis.getOrDefault(query.pool(), Long.MIN_VALUE / 2);
    boolean passed =
        now - lastPass >= MIN_PASS_INTERVAL_MILLIS
            || queue.waitingUpTo(query.pool(), terms.priority()) == 1;
    if (passed) {
      admit(query.pool());
    }
    if (waiting.containsKey(key)) {
      decideOnArrival(added, passed);
    }
  }

  private void decideOnArrival(WaitingTicket added, boolean passed) {
    WaitForecasts.Expected expected = forecasts.of(added);
    if (isWaitTooLong(expected) && !passed) {
      // Nothing is refused while there may be room.
      admit(added.ticket.pool());
    }
    if (!waiting.containsKey(added.ticket.key())) {
      return;
    }
    if (isWaitTooLong(expected)) {
      refuse(added, Cause.ARRIVAL, expected.waitMillis());
    } else {
      added.announcedMillis = expected.waitMillis();
      added.announcedAtMillis = time.monotonicMillis();
      added.listener.onHeld(expected.position(), expected.waitMillis());
    }
  }

  private boolean isWaitTooLong(WaitForecasts.Expected expected) {
    Ticket ticket = expected.waiting().ticket;
    return !ticket.terms().possiblyRun()
        && RoomForecast.isTooLong(ticket, expected.waitMillis(), time.monotonicMillis());
  }

  /** Withdraws a ticket, whose request no longer waits; ignored if it is unknown. */
  void cancel(Ticket.Key key) {
    WaitingTicket cancelled = remove(key);
    if (cancelled != null) {
      reservations.values().removeIf(reservation -> reservation.ticket().key().equals(key));
    }
  }

  private @Nullable WaitingTicket remove(Ticket.Key key) {
    queue.remove(key);
    return waiting.remove(key);
  }

  /** Admits the tickets for which there is room. */
  void admitAll() {
    queue.pools().forEach(this::admit);
  }

  private void admit(String pool) {
    long now = time.monotonicMillis();
    lastPassMillis.put(pool, now);
    silentTried = false;
    queue.admit(
        pool,
        now,
        new AdmissionQueue.Admitter() {
          @Override
          public AdmissionQueue.Trial tryAdmit(Ticket ticket, long lookAheadMillis) {
            return AdmissionController.this.tryAdmit(ticket, lookAheadMillis);
          }

          @Override
          public void reserve(Ticket ticket) {
            AdmissionController.this.reserve(ticket);
          }

          @Override
          public boolean hasReservation(Ticket ticket) {
            Reservation reservation = reservations.get(ticket.pool());
            return reservation != null && reservation.ticket().key().equals(ticket.key());
          }
        });
  }

  private AdmissionQueue.Trial tryAdmit(Ticket ticket, long lookAheadMillis) {
    WaitingTicket next = waiting.get(ticket.key());
    if (next == null) {
      return AdmissionQueue.Trial.ADMITTED;
    }
    long now = time.monotonicMillis();
    long memory = memoryTokens(ticket.pool());
    // Most tickets find no room. That is known without locating the parts of their prompts.
    boolean anyLeft = false;
    boolean anyRoom = false;
    boolean anySilent = false;
    boolean anyExcludedRoom = false;
    for (TrackedBackend candidate : candidates.of(next.query)) {
      boolean excluded = candidate.isAmong(next.query.excluded());
      anyLeft |= !excluded;
      if (hasRoom(candidate, ticket, memory, lookAheadMillis)) {
        boolean silent = rooms.isSilent(candidate);
        anySilent |= silent && !excluded;
        anyRoom |= !silent && !excluded;
        anyExcludedRoom |= !silent && excluded;
      }
    }
    // A silent engine gets one request that shows whether it has recovered.
    boolean probes = !anyRoom && anySilent && !silentTried;
    silentTried |= probes;
    PlacementResult result =
        anyRoom || probes || !anyLeft
            ? decider.decide(
                next.query,
                next.forThisNode,
                candidate -> !hasRoom(candidate, ticket, memory, lookAheadMillis),
                now)
            : PlacementResult.NO_ROOM;
    boolean waitsForSilent = anySilent && result instanceof PlacementResult.NoCandidate;
    result = waitsForSilent ? PlacementResult.NO_ROOM : result;
    if (result instanceof PlacementResult.NoRoom) {
      return anyExcludedRoom ? AdmissionQueue.Trial.RESTRICTED : AdmissionQueue.Trial.NO_ROOM;
    }
    conclude(next, result);
    return AdmissionQueue.Trial.ADMITTED;
  }

  private boolean hasRoom(
      TrackedBackend engine, Ticket ticket, long memoryTokens, long lookAheadMillis) {
    Reservation reservation = reservations.get(ticket.pool());
    boolean kept =
        reservation != null
            && reservation.engine().equals(engine.backend().id())
            && !reservation.ticket().key().equals(ticket.key())
            && reservation.ticket().terms().priority() <= ticket.terms().priority();
    return !kept
        && RoomPolicy.hasRoom(rooms.of(engine, memoryTokens), ticket.terms(), lookAheadMillis);
  }

  /**
   * Keeps the engine that has the most memory left for a ticket, one engine of a pool at a time.
   */
  private void reserve(Ticket ticket) {
    WaitingTicket blocked = waiting.get(ticket.key());
    if (blocked == null || reservations.containsKey(ticket.pool())) {
      return;
    }
    TrackedBackend best = null;
    long mostFree = Long.MIN_VALUE;
    for (TrackedBackend candidate : candidates.of(blocked.query)) {
      long free = RoomPolicy.freeTokens(rooms.of(candidate, memoryTokens(ticket.pool())));
      if (free > mostFree && !candidate.isAmong(blocked.query.excluded())) {
        best = candidate;
        mostFree = free;
      }
    }
    if (best != null) {
      reservations.put(ticket.pool(), new Reservation(best.backend().id(), ticket));
    }
  }

  private void conclude(WaitingTicket concluded, PlacementResult result) {
    Ticket ticket = concluded.ticket;
    waiting.remove(ticket.key());
    reservations.values().removeIf(kept -> kept.ticket().key().equals(ticket.key()));
    concluded.listener.onResult(result);
    if (result instanceof PlacementResult.Placed placed) {
      metrics.countAdmission();
      forecasts.recordAdmitted(concluded);
      Placement placement = placed.placement();
      rooms.recordAdmitted(
          placement.target(),
          ticket.terms().priority(),
          ticket.computedTokens() + placement.computedTokens(),
          RoomPolicy.allocatedTokens(ticket.terms()));
    }
  }

  /**
   * Refuses the tickets that can no longer be served in their time, tells the others what to
   * expect, and publishes the lengths of the queues. To be called every 100 ms while tickets wait.
   */
  void review() {
    long now = time.monotonicMillis();
    for (String pool : queue.pools()) {
      for (WaitForecasts.Expected expected : forecasts.all(pool, now)) {
        review(expected, now);
      }
    }
    metrics.publish(queue.lengths(now));
  }

  private void review(WaitForecasts.Expected expected, long now) {
    WaitingTicket held = expected.waiting();
    Ticket ticket = held.ticket;
    if (!waiting.containsKey(ticket.key())) {
      return;
    }
    if (ticket.terms().possiblyRun()) {
      if (now > ticket.lastMillis() + ABANDONED_MILLIS) {
        cancel(ticket.key());
        return;
      }
    } else if (now > ticket.lastMillis()) {
      refuse(held, Cause.PATIENCE, expected.waitMillis());
      return;
    } else if (isWaitTooLong(expected)
        && RoomForecast.hasGrown(
            held.announcedMillis, now - held.announcedAtMillis, expected.waitMillis())) {
      refuse(held, Cause.FORECAST_CHANGED, expected.waitMillis());
      return;
    }
    held.listener.onHeld(expected.position(), expected.waitMillis());
  }

  private void refuse(WaitingTicket refused, Cause cause, long waitMillis) {
    long retry = RoomForecast.retryAfterMillis(refused.ticket, waitMillis, time.monotonicMillis());
    refuse(refused, cause, waitMillis, retry);
  }

  private void refuse(WaitingTicket refused, Cause cause, long waitMillis, long retryAfterMillis) {
    Ticket ticket = refused.ticket;
    cancel(ticket.key());
    metrics.countRefusal(cause);
    refusals.log(
        ticket, cause, waitMillis, retryAfterMillis, queue.size(), () -> enginesWithRoom(refused));
    refused.listener.onResult(new PlacementResult.Refused(retryAfterMillis, waitMillis));
  }

  private long enginesWithRoom(WaitingTicket refused) {
    Ticket ticket = refused.ticket;
    long memory = memoryTokens(ticket.pool());
    long lookAhead = RoomPolicy.lookAheadMillis(ticket.terms());
    return candidates.of(refused.query).stream()
        .filter(candidate -> hasRoom(candidate, ticket, memory, lookAhead))
        .count();
  }

  private long memoryTokens(String name) {
    Pool pool = pools.apply(name);
    return pool == null ? 0 : pool.memoryTokens();
  }

  /** Drops the state of engines that are not among those given. */
  void retain(Set<String> engines) {
    rooms.retain(engines);
    reservations.values().removeIf(reservation -> !engines.contains(reservation.engine()));
  }
}
