package org.lockdale.gateway.weights;

import java.util.concurrent.CompletableFuture;
import org.lockdale.gateway.backend.Backend;

/** Port through which engines are queried for their state and given orders. */
public interface EngineControl {

  /**
   * Queries an engine for its state. The future completes exceptionally where no valid response
   * arrives in time; the cause is a {@link ReplacedEngineException} where another server responds
   * at its address.
   *
   * @param engine the engine
   */
  CompletableFuture<EngineState> state(Backend engine);

  /**
   * Orders an engine to load weights. The future never completes exceptionally.
   *
   * @param engine the engine
   * @param order the order
   */
  CompletableFuture<OrderOutcome> load(Backend engine, LoadOrder order);
}
