package org.lockdale.gateway.cluster;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.admission.AdmissionQueue;
import org.lockdale.gateway.admission.AdmittedRate;
import org.lockdale.gateway.admission.EngineRoom;
import org.lockdale.gateway.admission.RoomForecast;
import org.lockdale.gateway.admission.Ticket;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.configuration.Pool;

/** Forecasts the waits of the tickets in a queue. Performs no I/O. Confined to one thread. */
final class WaitForecasts {

  /**
   * Forecast for one ticket.
   *
   * @param waiting the ticket
   * @param position number of tickets ahead of it
   * @param waitMillis expected further wait, in milliseconds
   */
  record Expected(WaitingTicket waiting, int position, long waitMillis) {}

  /** Time for which the state of a pool's engines is used for forecasts, in milliseconds. */
  private static final long KEPT_MILLIS = 10;

  private record Kept(RoomForecast forecast, long atMillis) {}

  private final AdmissionQueue queue;
  private final Map<Ticket.Key, WaitingTicket> waiting;
  private final AdmissionCandidates candidates;
  private final EngineRooms rooms;
  private final Function<String, @Nullable Pool> pools;
  private final Time time;
  private final Map<String, Kept> kept = new HashMap<>();
  private final Map<String, AdmittedRate> rates = new HashMap<>();

  /** Rates of the requests that were admitted in time to meet their objective. */
  private final Map<String, AdmittedRate> inTimeRates = new HashMap<>();

  /**
   * Creates forecasts.
   *
   * @param queue order of the tickets
   * @param waiting the tickets that wait
   * @param candidates supplies the engines that may serve a request
   * @param rooms state of the engines
   * @param pools supplies a pool by its name, or null if it is unknown
   * @param time clock
   */
  WaitForecasts(
      AdmissionQueue queue,
      Map<Ticket.Key, WaitingTicket> waiting,
      AdmissionCandidates candidates,
      EngineRooms rooms,
      Function<String, @Nullable Pool> pools,
      Time time) {
    this.queue = queue;
    this.waiting = waiting;
    this.candidates = candidates;
    this.rooms = rooms;
    this.pools = pools;
    this.time = time;
  }

  /** Returns the forecast for a ticket that waits. */
  Expected of(WaitingTicket added) {
    List<Expected> found = forecasts(added.ticket.pool(), time.monotonicMillis(), added);
    if (found.isEmpty()) {
      throw new IllegalStateException("the ticket " + added.ticket.key() + " does not wait");
    }
    return found.get(0);
  }

  /** Records that a request is admitted. */
  void recordAdmitted(WaitingTicket admitted) {
    Ticket ticket = admitted.ticket;
    long now = time.monotonicMillis();
    double work = forecastOf(admitted, now).workMillis(ticket);
    rateOf(rates, ticket.pool()).record(ticket.terms().priority(), work, now);
    if (ticket.dueMillis() >= now) {
      rateOf(inTimeRates, ticket.pool()).record(ticket.terms().priority(), work, now);
    }
  }

  private static AdmittedRate rateOf(Map<String, AdmittedRate> rates, String pool) {
    return rates.computeIfAbsent(pool, name -> new AdmittedRate());
  }

  /** Returns the forecasts for the tickets of a pool in their order. */
  List<Expected> all(String pool, long now) {
    return forecasts(pool, now, null);
  }

  /** Returns the forecast for one ticket, or those for all of a pool if it is null. */
  private List<Expected> forecasts(String pool, long now, @Nullable WaitingTicket only) {
    List<Ticket> ordered = queue.inOrder(pool, now);
    List<Expected> all = new ArrayList<>(ordered.size());
    int from = 0;
    double urgent = 0;
    while (from < ordered.size()) {
      int priority = ordered.get(from).terms().priority();
      int to = from;
      while (to < ordered.size() && ordered.get(to).terms().priority() == priority) {
        to++;
      }
      urgent += addLane(all, ordered.subList(from, to), from, urgent, now, only);
      from = to;
    }
    return all;
  }

  /** Adds the forecasts for the tickets of one priority, and returns their work. */
  private double addLane(
      List<Expected> all,
      List<Ticket> lane,
      int from,
      double urgent,
      long now,
      @Nullable WaitingTicket only) {
    WaitingTicket first = waiting.get(lane.get(0).key());
    if (first == null) {
      return 0;
    }
    RoomForecast forecast = forecastOf(first, now);
    String pool = first.ticket.pool();
    int priority = first.ticket.terms().priority();
    double rate = rateOf(rates, pool).ofMoreUrgent(priority, now);
    double inTimeRate = rateOf(inTimeRates, pool).of(priority, now);
    double allLate = 0;
    boolean contended = false;
    for (Ticket ticket : lane) {
      boolean late = ticket.dueMillis() < now;
      allLate += late ? forecast.workMillis(ticket) : 0;
      contended |= !late;
    }
    int position = from;
    double inTimeAhead = 0;
    double lateAhead = 0;
    for (Ticket ticket : lane) {
      WaitingTicket held = waiting.get(ticket.key());
      boolean late = ticket.dueMillis() < now;
      if (held != null && (only == null || only == held)) {
        RoomForecast.Ahead ahead =
            new RoomForecast.Ahead(
                urgent, inTimeAhead, late ? lateAhead : allLate, contended, rate, inTimeRate);
        all.add(new Expected(held, position, forecast.waitMillis(ticket, ahead, now)));
      }
      position++;
      lateAhead += late ? forecast.workMillis(ticket) : 0;
      inTimeAhead += late ? 0 : forecast.workMillis(ticket);
    }
    return inTimeAhead + lateAhead;
  }

  /** Returns the forecast for the pool of a ticket, which is kept for a few milliseconds. */
  private RoomForecast forecastOf(WaitingTicket held, long now) {
    Kept known = kept.get(held.ticket.pool());
    if (known == null || now - known.atMillis() >= KEPT_MILLIS) {
      known = new Kept(newForecast(held), now);
      kept.put(held.ticket.pool(), known);
    }
    return known.forecast();
  }

  private RoomForecast newForecast(WaitingTicket held) {
    Pool pool = pools.apply(held.ticket.pool());
    long memory = pool == null ? 0 : pool.memoryTokens();
    List<EngineRoom> engines = new ArrayList<>();
    double gaps = 0;
    for (TrackedBackend candidate : candidates.of(held.query)) {
      if (!rooms.isSilent(candidate)) {
        engines.add(rooms.of(candidate, memory));
        gaps += rooms.gapMillis(candidate);
      }
    }
    double gap = engines.isEmpty() ? RoomForecast.DEFAULT_GAP_MILLIS : gaps / engines.size();
    return new RoomForecast(engines, gap, pool == null ? 1 : pool.tokensPerEvent());
  }
}
