package org.lockdale.gateway.request;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.cluster.PeerNode;
import org.tinylog.Logger;

/**
 * Forwards one request to other nodes, one after the other, until one of them takes it. Used while
 * this node can't connect to the backends of the request's pool, which other nodes may reach. A
 * request is forwarded once: the node that receives it doesn't forward it again. Confined to the
 * event loop of the caller's connection.
 */
final class RequestForwarding {

  private static final int MAX_NODES = 3;

  /** Outcome of a request whose response another node has produced. */
  static final String OUTCOME = "forwarded";

  private final RequestPath path;
  private final RequestState state;
  private final Consumer<String> onResponse;
  private final Consumer<String> onLost;
  private final Set<String> tried = new HashSet<>();
  private @Nullable ForwardedCall current;
  private boolean started;
  private Runnable whenNotServed = () -> {};

  /**
   * Creates the forwarding of a request.
   *
   * @param onResponse receives the outcome when a response was passed on to the caller
   * @param onLost receives the reason when the connection was lost to a node that may have run the
   *     request
   */
  RequestForwarding(
      RequestPath path, RequestState state, Consumer<String> onResponse, Consumer<String> onLost) {
    this.path = path;
    this.state = state;
    this.onResponse = onResponse;
    this.onLost = onLost;
  }

  /** Returns whether a request may be forwarded: it has not run, and was not forwarded before. */
  boolean isPossible() {
    return !state.receivedFromPeer
        && !started
        && state.possibleRuns == 0
        && !state.response.hasStarted();
  }

  /**
   * Starts to forward the request.
   *
   * @param onNotServed run when no other node has taken the request, so that it has not run
   */
  void start(Runnable onNotServed) {
    started = true;
    whenNotServed = onNotServed;
    tryNext();
  }

  private void tryNext() {
    Optional<PeerNode> peer =
        tried.size() < MAX_NODES
            ? path.services().peers().select(state.pool, tried)
            : Optional.empty();
    if (peer.isEmpty()) {
      whenNotServed.run();
      return;
    }
    tried.add(peer.get().id());
    ForwardedCall call =
        new ForwardedCall(state, peer.get(), path.services().held(), path.time(), this::onResult);
    current = call;
    Logger.info(
        "event=request-forwarded request={} node={} pool={} connect-failures={} last-event={}",
        state.request.id(),
        peer.get().id(),
        state.pool,
        state.connectFailures,
        state.response.lastEventId());
    call.start(path.client(), path.nowMillis() - state.arrivedAtMillis);
  }

  private void onResult(ForwardedCall.Result result) {
    ForwardedCall ended = current;
    current = null;
    if (ended == null) {
      return;
    }
    PeerNode peer = ended.peer();
    if (result instanceof ForwardedCall.Result.Served) {
      path.services().peers().include(state.pool, peer);
      onResponse.accept(OUTCOME);
    } else if (result instanceof ForwardedCall.Result.Refused refused) {
      if (refused.kind().guaranteesNotRun()) {
        path.onNotRun(state);
      }
      onResponse.accept(refused.kind().name());
    } else if (result instanceof ForwardedCall.Result.NotServed notServed) {
      logFailure(peer, notServed.reason());
      path.services().peers().exclude(state.pool, peer);
      tryNext();
    } else if (result instanceof ForwardedCall.Result.Lost lost) {
      logFailure(peer, lost.reason());
      path.services().peers().exclude(state.pool, peer);
      onLost.accept(lost.reason());
    } else if (result instanceof ForwardedCall.Result.Abandoned abandoned) {
      onLost.accept(abandoned.reason());
    }
  }

  private void logFailure(PeerNode peer, String reason) {
    Logger.info(
        "event=forward-failed request={} node={} reason=\"{}\"",
        state.request.id(),
        peer.id(),
        reason);
  }

  /**
   * Cancels the call to another node.
   *
   * @return whether the node may have received the request
   */
  boolean cancel() {
    ForwardedCall call = current;
    current = null;
    return call != null && call.cancel();
  }
}
