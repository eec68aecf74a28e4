package org.lockdale.gateway.request;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The requests of a node that have no final response yet. Thread-safe. */
final class OpenExecutions {

  private final Map<RequestState, RequestExecution> byRequest = new ConcurrentHashMap<>();

  void add(RequestState state, RequestExecution execution) {
    byRequest.put(state, execution);
  }

  void remove(RequestState state) {
    byRequest.remove(state);
  }

  /** Ends all requests, as the node is about to stop. */
  void endAll() {
    byRequest.forEach(
        (state, execution) -> state.exchange.eventLoop().execute(execution::onNodeStopping));
  }
}
