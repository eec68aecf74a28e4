package org.lockdale.gateway.request;

/**
 * The caller's connection and the pool of a request at this node.
 *
 * @param path state of the node
 * @param state the request
 */
record NodeEnvironment(RequestPath path, RequestState state) implements RequestEnvironment {

  @Override
  public void onCallerDisconnected(Runnable action) {
    state.exchange.disconnected().thenRunAsync(action, state.exchange.eventLoop());
  }

  @Override
  public boolean isCallerCutOff() {
    return state.exchange.held().isCutOff();
  }

  @Override
  public boolean isPoolUnreachable() {
    return path.services().reachability().isUnreachable(state.pool);
  }

  @Override
  public boolean hasUntriedBackend() {
    return path.pools().hasUntriedBackend(state);
  }

  @Override
  public boolean tryRetry() {
    return path.budget().tryRetry(state.pool);
  }

  @Override
  public boolean isOutdated(long weights) {
    String model = state.request.model();
    return model != null && path.services().decider().isOutdated(model, weights, path.nowMillis());
  }

  @Override
  public void ended(String outcome) {
    path.ended(state, outcome);
  }
}
