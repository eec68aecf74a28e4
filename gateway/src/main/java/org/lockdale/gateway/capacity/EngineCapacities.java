package org.lockdale.gateway.capacity;

import org.lockdale.gateway.backend.TrackedBackend;

/** Port through which the estimated capacities of engines are read. Thread-safe. */
@FunctionalInterface
public interface EngineCapacities {

  /** Capacities of which nothing is known. */
  EngineCapacities UNKNOWN = engine -> EngineCapacity.UNKNOWN;

  /** Returns the estimated capacity of an engine; {@link EngineCapacity#UNKNOWN} if none. */
  EngineCapacity of(TrackedBackend engine);
}
