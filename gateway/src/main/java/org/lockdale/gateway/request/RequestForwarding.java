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

  /** Interval at which it is checked whether the node that has the request is responsive. */
  private static final long PROBE_INTERVAL_MILLIS = 1_000;

  /** Outcome of a request whose response another node has produced. */
  static final String OUTCOME = "forwarded";

  /**
   * The call that is under way.
   *
   * @param peer node that is called
   * @param call the call
   */
  private record Current(PeerNode peer, PeerCalls.Call call) {}

  private final RequestTimers timers;
  private final PeerCalls calls;
  private final RequestState state;
  private final Consumer<String> onResponse;
  private final Consumer<String> onLost;
  private final Set<String> tried = new HashSet<>();
  private @Nullable Current current;
  private boolean started;
  private Runnable whenNotServed = () -> {};

  /**
   * Creates the forwarding of a request.
   *
   * @param timers timers of the request
   * @param calls calls to other nodes
   * @param state the request
   * @param onResponse receives the outcome when a response was passed on to the caller
   * @param onLost receives the reason when a node was lost that may have run the request
   */
  RequestForwarding(
      RequestTimers timers,
      PeerCalls calls,
      RequestState state,
      Consumer<String> onResponse,
      Consumer<String> onLost) {
    this.timers = timers;
    this.calls = calls;
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
    Optional<PeerNode> peer = tried.size() < MAX_NODES ? calls.select(tried) : Optional.empty();
    if (peer.isEmpty()) {
      whenNotServed.run();
      return;
    }
    tried.add(peer.get().id());
    PeerCalls.Call call = calls.create(peer.get(), result -> onResult(peer.get(), result));
    Current started = new Current(peer.get(), call);
    current = started;
    Logger.info(
        "event=request-forwarded request={} node={} pool={} connect-failures={} last-event={}",
        state.request.id(),
        peer.get().id(),
        state.pool,
        state.connectFailures,
        state.response.lastEventId());
    call.start();
    if (isAwaited(started) && state.route().isRepeatable()) {
      probeLater(started);
    }
  }

  /**
   * Checks periodically whether the node that has the request is responsive, until the response has
   * started. A slow response is no reason to leave it, and a node that is paused keeps its
   * connections open.
   */
  private void probeLater(Current probed) {
    timers.schedule(
        () -> {
          if (isAwaited(probed)) {
            calls
                .isResponsive(probed.peer())
                .thenAcceptAsync(responsive -> onProbed(probed, responsive), timers);
          }
        },
        PROBE_INTERVAL_MILLIS);
  }

  private boolean isAwaited(Current call) {
    return call == current && !state.response.hasStarted();
  }

  private void onProbed(Current probed, boolean responsive) {
    if (!isAwaited(probed)) {
      return;
    }
    if (responsive) {
      probeLater(probed);
      return;
    }
    cancel();
    String reason = "it is not responsive";
    logFailure(probed.peer(), reason);
    calls.exclude(probed.peer());
    onLost.accept(reason);
  }

  private void onResult(PeerNode peer, ForwardedCall.Result result) {
    if (current == null || current.peer() != peer) {
      return;
    }
    current = null;
    if (result instanceof ForwardedCall.Result.Served) {
      calls.include(peer);
      onResponse.accept(OUTCOME);
    } else if (result instanceof ForwardedCall.Result.Refused refused) {
      if (refused.kind().guaranteesNotRun()) {
        calls.onNotRun();
      }
      onResponse.accept(refused.kind().name());
    } else if (result instanceof ForwardedCall.Result.NotServed notServed) {
      logFailure(peer, notServed.reason());
      calls.exclude(peer);
      tryNext();
    } else if (result instanceof ForwardedCall.Result.Lost lost) {
      logFailure(peer, lost.reason());
      calls.exclude(peer);
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
    Current cancelled = current;
    current = null;
    return cancelled != null && cancelled.call().cancel();
  }
}
