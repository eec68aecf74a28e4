package org.lockdale.router.engine;

import java.util.List;
import java.util.Optional;

/**
 * All engines known to a node; immutable.
 *
 * @param engines engines in the order of their ids
 */
public record EngineTable(List<EngineView> engines) {

  /** No engines. */
  public static final EngineTable EMPTY = new EngineTable(List.of());

  /** Returns the engine with an id, or empty if it is not known. */
  public Optional<EngineView> find(String id) {
    for (EngineView engine : engines) {
      if (engine.id().equals(id)) {
        return Optional.of(engine);
      }
    }
    return Optional.empty();
  }
}
