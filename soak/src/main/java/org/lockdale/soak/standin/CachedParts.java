package org.lockdale.soak.standin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Cached parts of prompts at one engine or cache store, and what changed. Thread-safe. */
final class CachedParts {

  /**
   * A part and who made it.
   *
   * @param maker tenant whose request made it, or null for none
   * @param weights version of the weights that made it
   */
  record Part(
      String salt, String id, int tokens, String model, @Nullable String maker, long weights) {}

  /** Most parts held; the one unused longest gives way, so that parts are evicted in every run. */
  private static final int CAPACITY = 60;

  /** Changes that are kept for those who follow them. */
  private static final int MOST_EVENTS = 100;

  private record Event(long number, boolean added, Part part) {}

  private final long bootEpoch = StandardStreams.nowMillis();
  private final Map<String, Part> parts = new LinkedHashMap<>(CAPACITY, 0.75f, true);
  private final List<Event> events = new ArrayList<>();
  private long number;

  synchronized @Nullable Part get(String salt, String id) {
    return parts.get(salt + "/" + id);
  }

  /** Adds a part; one that is held stays as it was first made. */
  synchronized void add(Part part) {
    if (parts.putIfAbsent(part.salt() + "/" + part.id(), part) == null) {
      note(true, part);
    }
    if (parts.size() > CAPACITY) {
      String oldest = parts.keySet().iterator().next();
      note(false, parts.remove(oldest));
    }
  }

  synchronized void clear() {
    parts.values().forEach(part -> note(false, part));
    parts.clear();
  }

  private void note(boolean added, Part part) {
    events.add(new Event(++number, added, part));
    if (events.size() > MOST_EVENTS) {
      events.remove(0);
    }
    notifyAll();
  }

  /** Waits for changes after a number, and returns them as the platform writes them. */
  synchronized String changes(long since, long waitMillis) throws InterruptedException {
    long end = StandardStreams.nowMillis() + waitMillis;
    while (number <= since && StandardStreams.nowMillis() < end) {
      wait(Math.max(1, end - StandardStreams.nowMillis()));
    }
    ObjectNode body = head();
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
    ObjectNode body = head();
    ArrayNode list = body.putArray("held");
    parts.values().forEach(part -> write(list.addArray(), part));
    return body.toString();
  }

  private ObjectNode head() {
    return StandardStreams.MAPPER
        .createObjectNode()
        .put("bootEpoch", bootEpoch)
        .put("nextPageToken", number);
  }

  private static void write(ArrayNode entry, Part part) {
    entry.add(part.salt()).add(part.id()).add(part.tokens()).add(part.model());
  }
}
