package org.lockdale.gateway.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Published estimates of engines. Read from any thread without locks; published by one event loop.
 */
public final class EngineCapacityTable implements EngineCapacities, SilentEngines {

  /** A silent engine without open attempts is tried after this, and then at longer intervals. */
  private static final long FIRST_PROBE_MILLIS = 1_000;

  /** Longest interval: each probe costs a request the time until it is abandoned. */
  private static final long MAX_PROBE_INTERVAL_MILLIS = 4_000;

  /** When a silent engine may be tried next. */
  private static final class Probes {
    private final long sinceMillis;
    private final AtomicLong nextAtMillis;
    private volatile boolean idle;

    Probes(long sinceMillis, boolean idle) {
      this.sinceMillis = sinceMillis;
      this.nextAtMillis = new AtomicLong(sinceMillis + FIRST_PROBE_MILLIS);
      this.idle = idle;
    }

    boolean isDue(long nowMillis) {
      return idle && nowMillis >= nextAtMillis.get();
    }

    boolean tryClaim(long nowMillis) {
      long next = nextAtMillis.get();
      long interval = Math.max(FIRST_PROBE_MILLIS, nowMillis - sinceMillis);
      return idle
          && nowMillis >= next
          && nextAtMillis.compareAndSet(
              next, nowMillis + Math.min(MAX_PROBE_INTERVAL_MILLIS, interval));
    }
  }

  private volatile Map<String, EngineCapacity> capacities = Map.of();
  private volatile Map<String, Probes> silent = Map.of();

  /** Publishes capacities by the text forms of the engines' incarnations. */
  void publish(Map<String, EngineCapacity> newer) {
    capacities = Map.copyOf(newer);
  }

  /**
   * Publishes the silent engines.
   *
   * @param engines text forms of their incarnations, with whether no node has an attempt there
   * @param nowMillis monotonic time in milliseconds
   */
  void publishSilent(Map<String, Boolean> engines, long nowMillis) {
    Map<String, Probes> newer = new HashMap<>();
    engines.forEach(
        (engine, idle) -> {
          Probes known = silent.get(engine);
          Probes probes = known == null ? new Probes(nowMillis, idle) : known;
          probes.idle = idle;
          newer.put(engine, probes);
        });
    silent = Map.copyOf(newer);
  }

  @Override
  public EngineCapacity of(TrackedBackend engine) {
    return capacities.getOrDefault(engine.backend().id(), EngineCapacity.UNKNOWN);
  }

  /** Returns all known capacities by the text forms of the engines' incarnations. */
  public Map<String, EngineCapacity> all() {
    return capacities;
  }

  /** Returns the text forms of the incarnations of the silent engines. */
  public Set<String> silentEngines() {
    return silent.keySet();
  }

  @Override
  public boolean isAnySilent() {
    return !silent.isEmpty();
  }

  @Override
  public boolean isSilent(TrackedBackend engine) {
    return silent.containsKey(engine.backend().id());
  }

  @Override
  public boolean isProbeDue(TrackedBackend engine, long nowMillis) {
    @Nullable Probes probes = silent.get(engine.backend().id());
    return probes != null && probes.isDue(nowMillis);
  }

  @Override
  public boolean tryProbe(TrackedBackend engine, long nowMillis) {
    @Nullable Probes probes = silent.get(engine.backend().id());
    return probes != null && probes.tryClaim(nowMillis);
  }
}
