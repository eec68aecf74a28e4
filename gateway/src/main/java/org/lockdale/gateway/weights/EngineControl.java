package org.lockdale.gateway.weights;

import java.util.concurrent.CompletableFuture;
import org.lockdale.gateway.backend.Backend;

/** Port by which engines are asked for their state and given orders. */
public interface EngineControl {

  /** Asks an engine for its state; fails where no sound answer comes in time. */
  CompletableFuture<EngineState> state(Backend engine);

  /** Orders an engine to load weights; never fails. */
  CompletableFuture<OrderOutcome> load(Backend engine, LoadOrder order);
}
