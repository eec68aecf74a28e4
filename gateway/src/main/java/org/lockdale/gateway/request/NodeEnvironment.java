package org.lockdale.gateway.request;

import java.util.Optional;
import org.lockdale.gateway.limit.RetryBudget;

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
    Optional<RetryBudget.Retry> retry = path.budget().tryRetry(state.pool);
    retry.ifPresent(allowed -> state.retry = allowed);
    return retry.isPresent();
  }

  @Override
  public void recordRetrySent() {
    RetryBudget.Retry retry = state.retry;
    if (retry != null) {
      path.budget().recordSent(retry);
    }
  }

  @Override
  public boolean sendsUnrepeatable() {
    return path.sendsUnrepeatable();
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
