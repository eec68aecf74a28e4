package org.lockdale.gateway.rate;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.lockdale.gateway.backend.AdvertisedRate;
import org.lockdale.gateway.backend.Incarnation;

/**
 * The rate limits that backends advertise in their responses. Responses arrive out of order, so a
 * response counts as later than another only if its request was sent after the other response had
 * been received, which implies that it was written later. Among responses that may have been
 * written in either order the lowest rate applies, and a response without a rate does not end the
 * limit. Performs no I/O; the time is passed in. Not thread-safe.
 */
public final class AdvertisedRates {

  /** Effect of a response on the rate limit of its backend. */
  public enum Change {
    /** The rate limit did not change. */
    NONE,
    /** The backend has a new or another rate limit. */
    LIMITED,
    /** The backend no longer has a rate limit. */
    ENDED
  }

  /**
   * Time for which an ended limit is remembered, since responses from before its end may still
   * arrive, in milliseconds.
   */
  private static final long ENDED_RETENTION_MILLIS = 10_000;

  /**
   * Time for which the rate limit of an incarnation without a record is kept, in milliseconds. Its
   * record may come back, since records expire and are edited while their servers run.
   */
  private static final long UNRECORDED_RETENTION_MILLIS = 600_000;

  /** Time without a record after which a backend is probably no longer used, in milliseconds. */
  private static final long UNUSED_MILLIS = 10_000;

  /** Maximum number of backends without a record whose rate limits are kept. */
  private static final int MAX_UNRECORDED = 256;

  private static final double NO_LIMIT = Double.POSITIVE_INFINITY;

  /**
   * A rate limit, or its absence, as observed in a response.
   *
   * @param perSecond requests per second that the backend accepts, or positive infinity for no
   *     limit
   * @param sentAtMillis monotonic time at which the request was sent
   * @param receivedAtMillis monotonic time at which the first part of the response was received
   */
  public record Observation(double perSecond, long sentAtMillis, long receivedAtMillis) {

    /** Returns whether the response advertised a limit. */
    public boolean isLimit() {
      return perSecond < NO_LIMIT;
    }

    boolean isLaterThan(Observation other) {
      return sentAtMillis > other.receivedAtMillis;
    }

    /**
     * Returns whether this makes the other one redundant: it remains valid for at least as long and
     * is no higher.
     */
    boolean covers(Observation other) {
      return perSecond <= other.perSecond && receivedAtMillis >= other.receivedAtMillis;
    }
  }

  /** Observations that no later one has superseded, by backend. */
  private final Map<String, List<Observation>> latest = new HashMap<>();

  /** Monotonic time since which a backend has had no record, by backend. */
  private final Map<String, Long> unrecordedSince = new HashMap<>();

  /**
   * Processes the rate limit of a response. An unreadable rate changes nothing: a backend with a
   * limit keeps it, and one that never advertised a limit must not be limited by a mistake.
   *
   * @param backend text form of the backend's incarnation
   * @param rate rate limit in the response
   * @param sentAtMillis monotonic time at which the request was sent
   * @param receivedAtMillis monotonic time at which the first part of the response was received
   */
  public Change record(
      String backend, AdvertisedRate rate, long sentAtMillis, long receivedAtMillis) {
    boolean limited = rate instanceof AdvertisedRate.Limited;
    boolean readable = limited || rate instanceof AdvertisedRate.None;
    if (!readable || !limited && !latest.containsKey(backend)) {
      return Change.NONE;
    }
    double perSecond = rate instanceof AdvertisedRate.Limited limit ? limit.perSecond() : NO_LIMIT;
    double before = rateOf(backend);
    add(backend, new Observation(perSecond, sentAtMillis, receivedAtMillis));
    double after = rateOf(backend);
    if (after == before) {
      return Change.NONE;
    }
    return after == NO_LIMIT ? Change.ENDED : Change.LIMITED;
  }

  private void add(String backend, Observation added) {
    List<Observation> observations = latest.computeIfAbsent(backend, id -> new ArrayList<>());
    if (observations.stream().anyMatch(known -> known.isLaterThan(added) || known.covers(added))) {
      return;
    }
    observations.removeIf(known -> added.isLaterThan(known) || added.covers(known));
    observations.add(added);
  }

  private double rateOf(String backend) {
    return lowest(backend).map(Observation::perSecond).orElse(NO_LIMIT);
  }

  /**
   * Returns the lowest rate limit among the latest responses of a backend, or empty if it has none.
   */
  public Optional<Observation> lowest(String backend) {
    return lowestOf(latest.getOrDefault(backend, List.of()));
  }

  private static Optional<Observation> lowestOf(List<Observation> observations) {
    Observation lowest = null;
    for (Observation observation : observations) {
      if (observation.isLimit()
          && (lowest == null || observation.perSecond() < lowest.perSecond())) {
        lowest = observation;
      }
    }
    return Optional.ofNullable(lowest);
  }

  /**
   * Returns the latest response of a backend that had a rate limit until recently and has none now;
   * empty for any other.
   */
  public Optional<Observation> endOf(String backend) {
    List<Observation> observations = latest.getOrDefault(backend, List.of());
    return lowestOf(observations).isPresent()
        ? Optional.empty()
        : observations.stream().max(Comparator.comparingLong(Observation::receivedAtMillis));
  }

  /** Returns the rate limit of a backend in requests per second, or empty if it has none. */
  public OptionalDouble perSecond(String backend) {
    return lowest(backend).stream().mapToDouble(Observation::perSecond).findAny();
  }

  /**
   * Returns the lowest rate limit among the latest responses, by backend, of those that have a
   * limit.
   */
  public Map<String, Observation> limited() {
    Map<String, Observation> limited = new HashMap<>();
    latest.forEach(
        (backend, observations) ->
            lowestOf(observations).ifPresent(observation -> limited.put(backend, observation)));
    return limited;
  }

  /** Returns the backends that have a rate limit or had one until recently. */
  public Set<String> known() {
    return Set.copyOf(latest.keySet());
  }

  /** Returns whether a backend has a rate limit or had one until recently. */
  public boolean isKnown(String backend) {
    return latest.containsKey(backend);
  }

  /** Returns whether no backend has a rate limit or had one until recently. */
  public boolean isEmpty() {
    return latest.isEmpty();
  }

  /** Returns whether a backend that has a record, or had one until recently, has a rate limit. */
  public boolean isAnyInUseLimited(long nowMillis) {
    return latest.keySet().stream()
        .filter(
            backend -> nowMillis - unrecordedSince.getOrDefault(backend, nowMillis) < UNUSED_MILLIS)
        .anyMatch(backend -> rateOf(backend) != NO_LIMIT);
  }

  /**
   * Removes incarnations that were replaced by a later one or have had no record for long, and
   * limits that ended long ago. The rate limit of an incarnation whose record is missing is kept.
   *
   * @param recorded backends that have a record
   * @param nowMillis monotonic time
   * @return the removed backends that had a rate limit, with their rates
   */
  public Map<String, Double> retain(Set<String> recorded, long nowMillis) {
    latest.entrySet().removeIf(entry -> endedLongAgo(entry.getKey(), nowMillis));
    unrecordedSince.keySet().retainAll(latest.keySet());
    unrecordedSince.keySet().removeAll(recorded);
    List<String> unrecorded =
        latest.keySet().stream().filter(backend -> !recorded.contains(backend)).toList();
    unrecorded.forEach(backend -> unrecordedSince.putIfAbsent(backend, nowMillis));
    Map<String, Double> removed = new HashMap<>();
    unrecorded.stream()
        .filter(backend -> nowMillis - unrecordedSince.get(backend) >= UNRECORDED_RETENTION_MILLIS)
        .forEach(backend -> remove(backend, removed));
    replaced(unrecorded, recorded).forEach(backend -> remove(backend, removed));
    while (unrecordedSince.size() > MAX_UNRECORDED) {
      remove(
          Collections.min(unrecordedSince.entrySet(), Map.Entry.comparingByValue()).getKey(),
          removed);
    }
    return removed;
  }

  private void remove(String backend, Map<String, Double> removed) {
    if (rateOf(backend) != NO_LIMIT) {
      removed.put(backend, rateOf(backend));
    }
    latest.remove(backend);
    unrecordedSince.remove(backend);
  }

  /** Returns those backends of which a later incarnation has a record. */
  private static List<String> replaced(List<String> unrecorded, Set<String> recorded) {
    if (unrecorded.isEmpty()) {
      return List.of();
    }
    Map<String, Incarnation> byServer = new HashMap<>();
    recorded.stream()
        .map(Incarnation::parse)
        .forEach(incarnation -> byServer.put(incarnation.server(), incarnation));
    List<String> replaced = new ArrayList<>();
    for (String backend : unrecorded) {
      Incarnation incarnation = Incarnation.parse(backend);
      Incarnation present = byServer.get(incarnation.server());
      if (present != null && incarnation.isBefore(present)) {
        replaced.add(backend);
      }
    }
    return replaced;
  }

  private boolean endedLongAgo(String backend, long nowMillis) {
    return rateOf(backend) == NO_LIMIT
        && latest.get(backend).stream()
            .allMatch(known -> nowMillis - known.receivedAtMillis() > ENDED_RETENTION_MILLIS);
  }
}
