package org.lockdale.gateway.cluster;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.admission.AdmittedWork;
import org.lockdale.gateway.admission.EngineRoom;
import org.lockdale.gateway.admission.RoomForecast;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.RemoteLoads;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.capacity.EngineCapacities;
import org.lockdale.gateway.capacity.EngineCapacity;

/** State of the engines on which it depends whether they have room. Not thread-safe. */
final class EngineRooms {

  /**
   * Time for which the state of an engine is kept, in milliseconds: the work of all nodes is added
   * up to obtain it, and a pass over the queue needs that of each engine many times.
   */
  private static final long KEPT_MILLIS = 5;

  private record Kept(EngineRoom room, long atMillis) {}

  private final RemoteLoads loads;
  private final EngineCapacities capacities;
  private final IntSupplier deciders;
  private final Time time;
  private final AdmittedWork admitted = new AdmittedWork();
  private final Map<String, Kept> kept = new HashMap<>();

  /**
   * Creates an instance.
   *
   * @param loads work of other nodes at the engines
   * @param capacities estimated capacities of the engines
   * @param deciders supplies the number of nodes among which the engines are divided: 1 at a relay
   * @param time clock
   */
  EngineRooms(RemoteLoads loads, EngineCapacities capacities, IntSupplier deciders, Time time) {
    this.loads = loads;
    this.capacities = capacities;
    this.deciders = deciders;
    this.time = time;
  }

  /**
   * Returns the state of an engine.
   *
   * @param engine the engine
   * @param memoryTokens tokens that its memory holds; 0 if unknown
   */
  EngineRoom of(TrackedBackend engine, long memoryTokens) {
    long now = time.monotonicMillis();
    String id = engine.backend().id();
    Kept known = kept.get(id);
    if (known != null && now - known.atMillis() < KEPT_MILLIS) {
      return known.room();
    }
    EngineRoom room = read(engine, memoryTokens, now);
    kept.put(id, new Kept(room, now));
    return room;
  }

  private EngineRoom read(TrackedBackend engine, long memoryTokens, long now) {
    String id = engine.backend().id();
    BackendWork work = engine.load().work().plus(loads.at(id));
    EngineCapacity capacity = capacities.of(engine);
    boolean observed = capacity.ageMillis() != Long.MAX_VALUE;
    // Without observations the prompts of the open requests are all that is known of its memory.
    long reserved =
        observed
            ? capacity.reservedTokens() + admitted.unobservedMemory(id, now)
            : work.waitingTokens() + work.runningTokens();
    double rate =
        capacity.tokensPerMilli() > 0
            ? capacity.tokensPerMilli()
            : EngineRoom.DEFAULT_TOKENS_PER_MILLI * capacity.speed();
    return new EngineRoom(
            engine.backend().slots(),
            work.openRequests(),
            memoryTokens,
            reserved,
            admitted.waiting(id, work.waitingTokens(), now),
            rate / capacity.slowdown(),
            isProven(engine, observed, work))
        .share(deciders.getAsInt());
  }

  /** Returns whether the engine has answered a request of any node. */
  private static boolean isProven(TrackedBackend engine, boolean observed, BackendWork work) {
    return observed || work.runningTokens() > 0 || engine.health().hasSucceeded();
  }

  /** Returns whether an engine has stopped responding to all nodes, as far as is known. */
  boolean isSilent(TrackedBackend engine) {
    return capacities.of(engine).silent();
  }

  /** Returns the typical time between two events of an engine's streams, in milliseconds. */
  double gapMillis(TrackedBackend engine) {
    double known = capacities.of(engine).gapMillis();
    return known > 0 ? known : RoomForecast.DEFAULT_GAP_MILLIS;
  }

  /** Records that a request is admitted to an engine. */
  void recordAdmitted(TrackedBackend engine, int priority, long tokens, long memoryTokens) {
    String id = engine.backend().id();
    admitted.record(id, priority, tokens, memoryTokens, time.monotonicMillis());
    kept.remove(id);
  }

  /** Drops the engines that are not among those given. */
  void retain(Set<String> engines) {
    admitted.retain(engines);
    kept.keySet().retainAll(engines);
  }
}
