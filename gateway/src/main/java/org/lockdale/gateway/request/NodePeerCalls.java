package org.lockdale.gateway.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.quarantine.QuarantineHandler;
import org.lockdale.http.HttpRequestMessage;

/** Calls to the other nodes of the deployment. */
final class NodePeerCalls implements PeerCalls {

  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

  /** A call over the connections of this node. */
  private record NodeCall(RequestPath path, RequestState state, ForwardedCall forwarded)
      implements Call {

    @Override
    public void start() {
      forwarded.start(path.client(), path.nowMillis() - state.arrivedAtMillis);
    }

    @Override
    public boolean cancel() {
      return forwarded.cancel();
    }
  }

  private final RequestPath path;
  private final RequestState state;

  NodePeerCalls(RequestPath path, RequestState state) {
    this.path = path;
    this.state = state;
  }

  @Override
  public Optional<PeerNode> select(Set<String> tried) {
    return path.services().peers().select(state.pool, tried);
  }

  @Override
  public void include(PeerNode peer) {
    path.services().peers().include(state.pool, peer);
  }

  @Override
  public void exclude(PeerNode peer) {
    path.services().peers().exclude(state.pool, peer);
  }

  @Override
  public Call create(PeerNode peer, Consumer<ForwardedCall.Result> onResult) {
    RequestServices services = path.services();
    return new NodeCall(
        path,
        state,
        new ForwardedCall(
            state, peer, services.configurations(), services.held(), path.time(), onResult));
  }

  @Override
  public CompletableFuture<Boolean> isResponsive(PeerNode peer) {
    HttpRequestMessage probe =
        new HttpRequestMessage(
            HttpMethod.GET, QuarantineHandler.PATH, new DefaultHttpHeaders(), new byte[0]);
    return path.client()
        .exchange(peer.address(), probe, PROBE_TIMEOUT)
        .handle((reply, failure) -> failure == null);
  }

  @Override
  public void onNotRun() {
    path.onNotRun(state);
  }
}
