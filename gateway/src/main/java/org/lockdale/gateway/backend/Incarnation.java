package org.lockdale.gateway.backend;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Incarnation of a backend: the id of its server, which stays the same across restarts, and the
 * start time of its process. State learned about a backend belongs to its incarnation, since a
 * restarted server has none of its former state. Servers of earlier versions don't report their
 * start time and are identified by their id alone.
 *
 * <p>The text form is the key of an incarnation in messages between nodes and in the shared store:
 * the id alone where there is no start time, otherwise the id, {@value #SEPARATOR} and the start
 * time.
 */
public final class Incarnation {

  private static final char SEPARATOR = '@';

  private final String server;
  private final @Nullable Long startedAtMillis;
  private final String text;

  private Incarnation(String server, @Nullable Long startedAtMillis) {
    this.server = server;
    this.startedAtMillis = startedAtMillis;
    boolean plain = startedAtMillis == null && server.indexOf(SEPARATOR) < 0;
    this.text =
        plain ? server : server + SEPARATOR + (startedAtMillis == null ? "" : startedAtMillis);
  }

  /**
   * Returns an incarnation.
   *
   * @param server id of the server
   * @param startedAtMillis Unix time of its start in milliseconds, or null where it is not known
   */
  public static Incarnation of(String server, @Nullable Long startedAtMillis) {
    return new Incarnation(server, startedAtMillis);
  }

  /**
   * Returns the incarnation for a text form. Text that is not a valid text form is taken as the id
   * of a server without a start time.
   */
  public static Incarnation parse(String text) {
    int separator = text.lastIndexOf(SEPARATOR);
    if (separator < 0) {
      return of(text, null);
    }
    String start = text.substring(separator + 1);
    try {
      return of(text.substring(0, separator), start.isEmpty() ? null : Long.valueOf(start));
    } catch (NumberFormatException noStart) {
      return of(text, null);
    }
  }

  /** Returns the id of the server, which stays the same across restarts. */
  public String server() {
    return server;
  }

  /**
   * Returns the Unix time of its start in milliseconds, by the clock of the server, or empty where
   * it was not reported.
   */
  public OptionalLong startedAtMillis() {
    return startedAtMillis == null ? OptionalLong.empty() : OptionalLong.of(startedAtMillis);
  }

  /**
   * Returns whether this is an earlier incarnation of the same server. It is false where either
   * start time is unknown or the servers differ.
   */
  public boolean isBefore(Incarnation other) {
    return server.equals(other.server)
        && startedAtMillis != null
        && other.startedAtMillis != null
        && startedAtMillis < other.startedAtMillis;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Incarnation incarnation && text.equals(incarnation.text);
  }

  @Override
  public int hashCode() {
    return text.hashCode();
  }

  /** Returns the text form. */
  @Override
  public String toString() {
    return text;
  }
}
