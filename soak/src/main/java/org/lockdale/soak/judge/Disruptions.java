package org.lockdale.soak.judge;

import java.util.HashMap;
import java.util.Map;

/** Records when machines, the store and links were disrupted. */
final class Disruptions {

  private record Span(String subject, boolean onLink, long from, long until) {

    boolean overlaps(long start, long end) {
      return from <= end && until >= start;
    }

    boolean isOutage() {
      return !onLink && !subject.isEmpty() && !History.isDelay(subject);
    }

    boolean affects(String machine) {
      return subject.equals(machine) || subject.equals(History.HOST);
    }
  }

  private final Map<Long, Span> spans = new HashMap<>();

  void addStart(Note.DisruptionBegan note) {
    spans.merge(
        note.id(),
        new Span(note.subject(), note.onLink(), note.atMillis(), Long.MAX_VALUE),
        (end, start) -> new Span(start.subject(), start.onLink(), start.from(), end.until()));
  }

  /** Adds an end; it may arrive before the start, since events are recorded by several threads. */
  void addEnd(Note.DisruptionEnded note) {
    spans.merge(
        note.id(),
        new Span("", false, Long.MAX_VALUE, note.atMillis()),
        (start, end) -> new Span(start.subject(), start.onLink(), start.from(), end.until()));
  }

  /** Returns whether a machine was not disrupted within a span, both ends included. */
  boolean isUndisrupted(String machine, long from, long until) {
    return spans.values().stream()
        .noneMatch(span -> span.affects(machine) && span.overlaps(from, until));
  }

  /** Returns whether at most the links of a machine were disrupted within a span, ends included. */
  boolean isRunning(String machine, long from, long until) {
    return spans.values().stream()
        .noneMatch(span -> !span.onLink() && span.affects(machine) && span.overlaps(from, until));
  }

  /** Returns the end of the last outage of a node, a server or the store; 0 if there is none. */
  long lastOutageEndMillis() {
    return spans.values().stream().filter(Span::isOutage).mapToLong(Span::until).max().orElse(0);
  }

  /**
   * Returns the end of the last disruption of the store or a link that started by a moment, or the
   * moment itself if it still lasts then; 0 if there is none.
   */
  long lastDisruptionEndMillis(long moment) {
    return spans.values().stream()
        .filter(span -> span.onLink() || span.affects(History.STORE))
        .filter(span -> span.from() <= moment)
        .mapToLong(span -> Math.min(span.until(), moment))
        .max()
        .orElse(0);
  }
}
