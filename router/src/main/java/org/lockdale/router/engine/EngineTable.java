package org.lockdale.router.engine;

import java.util.List;
import java.util.Optional;

/**
 * All engines a node knows; immutable.
 *
 * @param engines engines by id order
 */
public record EngineTable(List<EngineView> engines) {

  /** No engines. */
  public static final EngineTable EMPTY = new EngineTable(List.of());

  /** Returns the engine of an id. */
  public Optional<EngineView> find(String id) {
    for (EngineView engine : engines) {
      if (engine.id().equals(id)) {
        return Optional.of(engine);
      }
    }
    return Optional.empty();
  }
}
