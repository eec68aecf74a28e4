package org.lockdale.gateway.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Selects the capacities that a relay sends to nodes, which use them when they decide alone: those
 * that differ from what it sent last. Reserved tokens are sent along with them, but a difference of
 * these alone is not sent: they change with each request. Performs no I/O; the time is passed in.
 * Not thread-safe.
 */
public final class CapacitySummaries {

  /** Smaller differences of a speed change no decision. */
  private static final double SPEED_DIFFERENCE = 0.1;

  /** What was sent is repeated after this, for nodes that have missed it or have started since. */
  private static final long REPEAT_MILLIS = 30_000;

  private record Sent(EngineCapacity capacity, long atMillis) {}

  private final Map<String, Sent> sent = new HashMap<>();

  /** Returns the capacities to send now, and counts them as sent. */
  public Map<String, EngineCapacity> due(Map<String, EngineCapacity> present, long nowMillis) {
    sent.keySet().retainAll(present.keySet());
    Map<String, EngineCapacity> due = new HashMap<>();
    present.forEach(
        (engine, capacity) -> {
          Sent last = sent.get(engine);
          if (capacity.ageMillis() != Long.MAX_VALUE
              && (last == null
                  || nowMillis - last.atMillis() >= REPEAT_MILLIS
                  || differs(capacity, last.capacity()))) {
            sent.put(engine, new Sent(capacity, nowMillis));
            due.put(engine, capacity);
          }
        });
    return due;
  }

  private static boolean differs(EngineCapacity now, EngineCapacity before) {
    return now.silent() != before.silent()
        || differs(now.speed(), before.speed())
        || differs(now.tokensPerMilli(), before.tokensPerMilli())
        || differs(now.gapMillis(), before.gapMillis())
        || differs(now.slowdown(), before.slowdown());
  }

  private static boolean differs(double now, double before) {
    return Math.abs(now - before) > before * SPEED_DIFFERENCE;
  }
}
