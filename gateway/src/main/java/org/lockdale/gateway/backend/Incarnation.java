package org.lockdale.gateway.backend;

import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * One life of a back end: its server's id, which it keeps when it starts again, and its start. What
 * is learned of a back end hangs on its incarnation, since a server that starts again knows nothing
 * of before. Servers of earlier versions don't tell their start; their id alone tells them apart.
 *
 * <p>The text form is the key by which nodes name an incarnation to each other and on record: the
 * id alone where there is no start, else id, {@value #SEPARATOR} and the start.
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
   * @param startedAtMillis Unix time of its start in milliseconds, or null where it is not told
   */
  public static Incarnation of(String server, @Nullable Long startedAtMillis) {
    return new Incarnation(server, startedAtMillis);
  }

  /** Returns the incarnation that a text form names; text that is none is a server's id. */
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

  /** Returns the id of the server, which it keeps when it starts again. */
  public String server() {
    return server;
  }

  /** Returns the Unix time of its start in milliseconds, by its own clock, where it told it. */
  public OptionalLong startedAtMillis() {
    return startedAtMillis == null ? OptionalLong.empty() : OptionalLong.of(startedAtMillis);
  }

  /**
   * Returns whether this is an earlier life of the same server. Where either start is not told, or
   * the servers differ, it is not.
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
