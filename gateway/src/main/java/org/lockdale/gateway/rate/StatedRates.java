package org.lockdale.gateway.rate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.lockdale.gateway.backend.RateStatement;

/**
 * Which rate each back end is believed to name. Answers come out of order, so one counts as later
 * than another only if its request was sent after the other had been heard: it was written after it
 * then. Of answers that may have been written in either order, the least rate holds, and one that
 * names none ends nothing. Without I/O; time is injected; not safe for use by several threads.
 */
public final class StatedRates {

  /** How a statement changed what is believed. */
  public enum Change {
    /** Nothing is believed that was not before. */
    NONE,
    /** The back end takes a rate that was not believed before. */
    LIMITED,
    /** The back end no longer names a rate. */
    ENDED
  }

  /** An ended limit is remembered this long, since answers of its time may still come. */
  private static final long ENDED_MEMORY_MILLIS = 10_000;

  private static final double NO_LIMIT = Double.POSITIVE_INFINITY;

  /**
   * What an answer said.
   *
   * @param perSecond requests a second that its back end takes, or positive infinity
   * @param sentAtMillis monotonic time at which its request was sent
   * @param heardAtMillis monotonic time at which it began to be heard
   */
  public record Statement(double perSecond, long sentAtMillis, long heardAtMillis) {

    boolean isLaterThan(Statement other) {
      return sentAtMillis > other.heardAtMillis;
    }

    /** Returns whether this holds whenever the other one would, and allows no more. */
    boolean covers(Statement other) {
      return perSecond <= other.perSecond && heardAtMillis >= other.heardAtMillis;
    }
  }

  /** Statements that none has followed, by back end. */
  private final Map<String, List<Statement>> latest = new HashMap<>();

  /**
   * Takes in what an answer says. An unreadable rate changes nothing: a back end that means what it
   * said before goes on with that, and one that never named a rate would be cut off by a slip.
   *
   * @param backend text form of the back end's incarnation
   * @param statement what the answer says
   * @param sentAtMillis monotonic time at which the answer's request was sent
   * @param heardAtMillis monotonic time at which the answer began to be heard
   */
  public Change stated(
      String backend, RateStatement statement, long sentAtMillis, long heardAtMillis) {
    boolean limited = statement instanceof RateStatement.Limited;
    boolean readable = limited || statement instanceof RateStatement.None;
    if (!readable || !limited && !latest.containsKey(backend)) {
      return Change.NONE;
    }
    double perSecond =
        statement instanceof RateStatement.Limited named ? named.perSecond() : NO_LIMIT;
    double before = rateOf(backend);
    add(backend, new Statement(perSecond, sentAtMillis, heardAtMillis));
    double after = rateOf(backend);
    if (after == before) {
      return Change.NONE;
    }
    return after == NO_LIMIT ? Change.ENDED : Change.LIMITED;
  }

  private void add(String backend, Statement heard) {
    List<Statement> statements = latest.computeIfAbsent(backend, id -> new ArrayList<>());
    if (statements.stream().anyMatch(known -> known.isLaterThan(heard) || known.covers(heard))) {
      return;
    }
    statements.removeIf(known -> heard.isLaterThan(known) || heard.covers(known));
    statements.add(heard);
  }

  private double rateOf(String backend) {
    return named(backend).map(Statement::perSecond).orElse(NO_LIMIT);
  }

  /**
   * Returns what the least of a back end's latest answers said, or empty where it names no rate.
   */
  public Optional<Statement> named(String backend) {
    return least(latest.getOrDefault(backend, List.of()));
  }

  private static Optional<Statement> least(List<Statement> statements) {
    Statement least = null;
    for (Statement statement : statements) {
      boolean limits = statement.perSecond() < NO_LIMIT;
      if (limits && (least == null || statement.perSecond() < least.perSecond())) {
        least = statement;
      }
    }
    return Optional.ofNullable(least);
  }

  /** Returns the requests a second that a back end takes, or empty where it names no rate. */
  public OptionalDouble perSecond(String backend) {
    return named(backend).stream().mapToDouble(Statement::perSecond).findAny();
  }

  /** Returns the back ends that name a rate, with what the least of their latest answers said. */
  public Map<String, Statement> limited() {
    Map<String, Statement> limited = new HashMap<>();
    latest.forEach(
        (backend, statements) ->
            least(statements).ifPresent(statement -> limited.put(backend, statement)));
    return limited;
  }

  /** Returns whether a back end names a rate or has ceased to not long ago. */
  public boolean isKnown(String backend) {
    return latest.containsKey(backend);
  }

  /** Returns whether nothing is believed of any back end. */
  public boolean isEmpty() {
    return latest.isEmpty();
  }

  /** Forgets back ends that are gone, and limits that ended long ago. */
  public void retain(Set<String> backends, long nowMillis) {
    latest.keySet().retainAll(backends);
    latest.entrySet().removeIf(entry -> endedLongAgo(entry.getKey(), nowMillis));
  }

  private boolean endedLongAgo(String backend, long nowMillis) {
    return rateOf(backend) == NO_LIMIT
        && latest.get(backend).stream()
            .allMatch(known -> nowMillis - known.heardAtMillis() > ENDED_MEMORY_MILLIS);
  }
}
