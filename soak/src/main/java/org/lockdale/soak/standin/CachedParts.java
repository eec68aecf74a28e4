package org.lockdale.soak.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Cached prompt parts of an engine or cache store, and their recent changes. Thread-safe. */
final class CachedParts {

  /**
   * A cached part of a prompt.
   *
   * @param salt namespace of the part
   * @param id id of the part within its namespace
   * @param tokens number of its tokens
   * @param model model that computed it
   * @param maker tenant whose request created it, or null for none
   * @param weights version of the weights that computed it
   */
  record Part(
      String salt, String id, int tokens, String model, @Nullable String maker, long weights) {}

  /** Maximum number of parts, so low that least recently used ones are evicted in every run. */
  private static final int CAPACITY = 60;

  /** Number of recent changes that are kept for followers. */
  private static final int MAX_EVENTS = 100;

  private record Event(long number, boolean added, Part part) {}

  private final long bootEpoch = StandardStreams.nowMillis();
  private final Map<String, Part> parts = new LinkedHashMap<>(CAPACITY, 0.75f, true);
  private final List<Event> events = new ArrayList<>();
  private long lastEventNumber;

  synchronized @Nullable Part get(String salt, String id) {
    return parts.get(salt + "/" + id);
  }

  /**
   * Adds a part, unless it is cached already, and evicts the least recently used one if necessary.
   */
  synchronized void add(Part part) {
    if (parts.putIfAbsent(part.salt() + "/" + part.id(), part) == null) {
      recordEvent(true, part);
    }
    if (parts.size() > CAPACITY) {
      String oldest = parts.keySet().iterator().next();
      recordEvent(false, parts.remove(oldest));
    }
  }

  synchronized void clear() {
    parts.values().forEach(part -> recordEvent(false, part));
    parts.clear();
  }

  private void recordEvent(boolean added, Part part) {
    events.add(new Event(++lastEventNumber, added, part));
    if (events.size() > MAX_EVENTS) {
      events.remove(0);
    }
    notifyAll();
  }

  /**
   * Waits for changes after the given number and returns them in the platform's format.
   *
   * @param waitMillis maximum wait in milliseconds, after which the list may be empty
   */
  synchronized String changes(long since, long waitMillis) throws InterruptedException {
    long end = StandardStreams.nowMillis() + waitMillis;
    while (lastEventNumber <= since && StandardStreams.nowMillis() < end) {
      wait(Math.max(1, end - StandardStreams.nowMillis()));
    }
    ObjectNode body = responseHead(lastEventNumber);
    body.put("lost", !events.isEmpty() && events.get(0).number() > since + 1);
    ArrayNode list = body.putArray("events");
    for (Event event : events) {
      if (event.number() > since) {
        ArrayNode entry = list.addArray().add(event.number()).add(event.added() ? "+" : "-");
        write(entry, event.part());
      }
    }
    return body.toString();
  }

  synchronized String list() {
    ObjectNode body = responseHead(lastEventNumber);
    ArrayNode list = body.putArray("held");
    parts.values().forEach(part -> write(list.addArray(), part));
    return body.toString();
  }

  /** Returns a list without parts that ends at a given event number. */
  String emptyList(long eventNumber) {
    ObjectNode body = responseHead(eventNumber);
    body.putArray("held");
    return body.toString();
  }

  private ObjectNode responseHead(long eventNumber) {
    return StandardStreams.MAPPER
        .createObjectNode()
        .put("bootEpoch", bootEpoch)
        .put("nextPageToken", eventNumber);
  }

  private static void write(ArrayNode entry, Part part) {
    entry.add(part.salt()).add(part.id()).add(part.tokens()).add(part.model());
  }
}
