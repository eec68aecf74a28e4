package org.lockdale.gateway.admission;

import java.util.List;

/**
 * Forecasts how long a request waits for room: the work ahead of it in the order, divided by the
 * engines that may serve it, and the time until the first of them has room. Performs no I/O.
 */
public final class RoomForecast {

  /**
   * Typical time between two events of a stream at an engine of which none is known, in
   * milliseconds: five decode steps of 6 ms, which an event of five tokens takes.
   */
  public static final double DEFAULT_GAP_MILLIS = 30;

  /**
   * Factor by which a forecast has to exceed the time that is left before a request is refused. A
   * request that could have been served is worth more than an early refusal.
   */
  private static final double ERROR_FACTOR = 1.25;

  /** A waiting request is refused only if its whole wait has grown by this factor. */
  private static final double GROWTH_FACTOR = 1.5;

  /** Shortest retry time, in milliseconds: two rounds between nodes and a relay's pass. */
  private static final long MIN_RETRY_MILLIS = 50;

  /** Smallest part of the engines' time that is assumed to be left by more urgent requests. */
  private static final double MIN_CAPACITY = 0.1;

  /** Retries of one priority are spread over this part of the retry time. */
  private static final int SPREAD_DIVISOR = 4;

  private static final int HASH_STEPS = 1_024;

  private final List<EngineRoom> engines;
  private final double gapMillis;
  private final int tokensPerEvent;
  private final double meanTokensPerMilli;
  private final double meanSlots;

  /**
   * Creates a forecast.
   *
   * @param engines engines that may serve the request
   * @param gapMillis typical time between two events of a stream, in milliseconds
   * @param tokensPerEvent tokens in one event of a stream
   */
  public RoomForecast(List<EngineRoom> engines, double gapMillis, int tokensPerEvent) {
    this.engines = List.copyOf(engines);
    this.gapMillis = gapMillis;
    this.tokensPerEvent = Math.max(1, tokensPerEvent);
    this.meanTokensPerMilli =
        engines.stream()
            .mapToDouble(EngineRoom::tokensPerMilli)
            .average()
            .orElse(EngineRoom.DEFAULT_TOKENS_PER_MILLI);
    this.meanSlots =
        Math.max(1, engines.stream().mapToInt(EngineRoom::usableSlots).average().orElse(1));
  }

  /** Returns the engine time that a ticket takes, in milliseconds. */
  public double workMillis(Ticket ticket) {
    return ticket.computedTokens() / meanTokensPerMilli + streamMillis(ticket.terms()) / meanSlots;
  }

  private double streamMillis(AdmissionTerms terms) {
    return (double) terms.outputTokens() / tokensPerEvent * gapMillis;
  }

  /**
   * Work that is done before a ticket, in milliseconds of engine time.
   *
   * @param urgentMillis work of more urgent tickets
   * @param inTimeMillis work of the tickets of its priority that are ahead of it and can still meet
   *     their objective
   * @param lateMillis work of the late tickets of its priority that are ahead of it, or of all of
   *     them if it is not late itself
   * @param contended whether tickets of its priority wait that can still meet their objective
   * @param urgentRate engine time that more urgent requests have lately taken, in milliseconds per
   *     millisecond
   * @param inTimeRate engine time that requests of its priority have lately taken which could still
   *     meet their objective, in milliseconds per millisecond
   */
  public record Ahead(
      double urgentMillis,
      double inTimeMillis,
      double lateMillis,
      boolean contended,
      double urgentRate,
      double inTimeRate) {

    /**
     * Returns the part of the engines' time that late tickets get: what those in time leave, and
     * the share that is reserved for late ones at least.
     */
    double lateShare(double capacity) {
      double left = contended ? 1 - inTimeRate / capacity : 1;
      return Math.max(1.0 / AdmissionLane.LATE_SHARE, left);
    }
  }

  /**
   * Returns the wait of a ticket, in milliseconds. A ticket that can't be admitted before it is
   * late waits behind later ones, with the share of late tickets.
   *
   * @param ticket the ticket
   * @param ahead work that is done before it
   * @param nowMillis monotonic time in milliseconds
   */
  public long waitMillis(Ticket ticket, Ahead ahead, long nowMillis) {
    double first = Double.MAX_VALUE;
    for (EngineRoom engine : engines) {
      first = Math.min(first, roomMillis(engine, ticket.terms()));
    }
    first = engines.isEmpty() ? 0 : first;
    int count = Math.max(1, engines.size());
    double capacity = Math.max(count * MIN_CAPACITY, count - ahead.urgentRate());
    long untilDue = ticket.dueMillis() - nowMillis;
    if (untilDue < 0) {
      double late = ahead.lateMillis() / ahead.lateShare(capacity);
      return Math.round(first + (ahead.urgentMillis() + late) / capacity);
    }
    double work = ahead.urgentMillis() + ahead.inTimeMillis();
    double wait = first + work / capacity;
    if (wait <= untilDue) {
      return Math.round(wait);
    }
    double left = Math.max(0, work - capacity * untilDue) + ahead.lateMillis();
    return Math.round(Math.max(wait, untilDue + left / ahead.lateShare(capacity) / capacity));
  }

  private double roomMillis(EngineRoom engine, AdmissionTerms terms) {
    double ahead = engine.waitMillis(terms.priority()) - RoomPolicy.lookAheadMillis(terms);
    boolean full =
        engine.openRequests() >= engine.usableSlots()
            || RoomPolicy.freeTokens(engine) < RoomPolicy.allocatedTokens(terms);
    return Math.max(0, ahead) + (full ? streamMillis(terms) / engine.usableSlots() : 0);
  }

  /**
   * Returns whether a forecast wait is too long for a request to be served within its caller's
   * patience.
   */
  public static boolean isTooLong(Ticket ticket, long waitMillis, long nowMillis) {
    return waitMillis > ERROR_FACTOR * (ticket.lastMillis() - nowMillis);
  }

  /**
   * Returns whether the wait of a request has become so much longer than announced that it may
   * still be refused.
   *
   * @param announcedMillis wait that was announced to it, in milliseconds
   * @param sinceAnnouncedMillis time since then, in milliseconds
   * @param waitMillis forecast further wait, in milliseconds
   */
  public static boolean hasGrown(long announcedMillis, long sinceAnnouncedMillis, long waitMillis) {
    return sinceAnnouncedMillis + waitMillis > GROWTH_FACTOR * announcedMillis;
  }

  /**
   * Returns the time after which there is room for a refused request, in milliseconds, spread by
   * priority and then by request so that retries do not arrive at one moment.
   */
  public static long retryAfterMillis(Ticket ticket, long waitMillis, long nowMillis) {
    long acceptable = Math.max(0, ticket.lastMillis() - nowMillis);
    long base = Math.max(MIN_RETRY_MILLIS, waitMillis - acceptable);
    int hash = Math.floorMod(ticket.key().hashCode() * 0x9E3779B9, HASH_STEPS);
    double step = (double) base / SPREAD_DIVISOR;
    double spread = step * (ticket.terms().priority() + (double) hash / HASH_STEPS);
    return base + Math.round(spread);
  }

  /**
   * Returns the retry time to send to a caller, in milliseconds.
   *
   * @param retryAfterMillis time after which there is room, in milliseconds
   * @param remainingMillis time for which the caller still waits, in milliseconds; it does not
   *     follow a retry time beyond a third of it
   */
  public static long cappedRetryMillis(long retryAfterMillis, long remainingMillis) {
    return Math.max(1, Math.min(retryAfterMillis, remainingMillis / 3));
  }
}
