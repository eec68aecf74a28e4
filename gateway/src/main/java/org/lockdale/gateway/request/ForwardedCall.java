package org.lockdale.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.cluster.PeerNode;
import org.lockdale.gateway.flow.HeldBytes;
import org.lockdale.http.BodyFraming;
import org.lockdale.http.HttpCall;
import org.lockdale.http.HttpCallException;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpRequestMessage;
import org.lockdale.http.HttpResponseListener;

/**
 * Forwards one request to another node, and passes the response on to the caller: one with a length
 * as a whole, a stream event by event. Confined to the event loop of the caller's connection.
 */
final class ForwardedCall implements HttpResponseListener {

  /** How a forwarded request has ended. */
  sealed interface Result {

    /** The complete response was passed on. */
    record Served() implements Result {}

    /** The node has not run the request, and another one may be able to. */
    record NotServed(String reason) implements Result {}

    /** The node has refused the request, and no other one would run it; passed on to the caller. */
    record Refused(RefusalKind kind) implements Result {}

    /** The connection to the node was lost; a backend may have run the request. */
    record Lost(String reason) implements Result {}

    /** This node has broken off the response; a backend may have run the request. */
    record Abandoned(String reason) implements Result {}
  }

  private final RequestState state;
  private final PeerNode peer;
  private final PeerConfigurations configurations;
  private final Consumer<Result> onResult;
  private final HeldBytes held;
  private final Time time;
  private final CallerResponse.Source source;
  private final ResponseBuffer body;
  private @Nullable HttpCall call;
  private @Nullable StreamForwarder forwarder;
  private int status;
  private @Nullable HttpHeaders headers;
  private Optional<RefusalKind> refusal = Optional.empty();
  private boolean supported;
  private boolean ended;

  /**
   * Creates a call.
   *
   * @param configurations receives the version of the other node's configuration
   * @param held counts what this node holds
   * @param time clock
   * @param onResult receives how the request has ended
   */
  ForwardedCall(
      RequestState state,
      PeerNode peer,
      PeerConfigurations configurations,
      HeldBytes held,
      Time time,
      Consumer<Result> onResult) {
    this.state = state;
    this.peer = peer;
    this.configurations = configurations;
    this.held = held;
    this.time = time;
    this.source = state.response.source(peer.id(), () -> {});
    this.body = new ResponseBuffer(state.exchange.held());
    this.onResult = onResult;
  }

  /**
   * Sends the request.
   *
   * @param elapsedMillis time since the request has arrived at this node
   */
  void start(HttpClient client, long elapsedMillis) {
    source.open();
    HttpRequestMessage message =
        new HttpRequestMessage(
            HttpMethod.valueOf(state.request.method()),
            state.request.uri(),
            ForwardHeaders.ofRequest(
                state.request.headers(), elapsedMillis, state.configuration.version()),
            state.request.body());
    call = client.send(state.exchange.eventLoop(), peer.address(), message, this);
  }

  /**
   * Cancels the call without reporting a result.
   *
   * @return whether the node may have received the request
   */
  boolean cancel() {
    HttpCall current = call;
    if (ended || current == null) {
      return false;
    }
    ended = true;
    current.cancel();
    release();
    return current.wasSent();
  }

  PeerNode peer() {
    return peer;
  }

  @Override
  public void onHead(int responseStatus, HttpHeaders received) {
    status = responseStatus;
    supported = ForwardHeaders.isMarked(received);
    refusal = ForwardHeaders.refusalOf(received);
    headers = ForwardHeaders.ofResponse(received);
    ForwardHeaders.configurationOf(received)
        .ifPresent(version -> configurations.observeResponse(peer, version));
    if (!supported && call != null) {
      call.discardContent();
    } else if (supported && received.contains(HttpHeaderNames.TRANSFER_ENCODING)) {
      source.prepareStream(status, headers, state.route().resumable());
      CallerFlow flow = new CallerFlow(state.exchange, call, held, time, () -> {});
      BodyFraming framing = BodyFraming.of(state.request.method(), status, received);
      forwarder = new StreamForwarder(source, framing, flow, time);
    }
  }

  @Override
  public void onContent(ByteBuf content) {
    if (ended || !supported) {
      return;
    }
    StreamForwarder stream = forwarder;
    if (!source.isCurrent()) {
      cancel();
    } else if (stream != null) {
      forwardPart(stream, content);
    } else {
      String problem = body.append(content);
      if (problem != null) {
        abandon(problem);
      }
    }
  }

  private void forwardPart(StreamForwarder stream, ByteBuf content) {
    try {
      stream.accept(content);
    } catch (IllegalArgumentException malformed) {
      abandon("its stream cannot be parsed: " + malformed.getMessage());
    }
  }

  private void abandon(String reason) {
    HttpCall current = call;
    if (current != null) {
      current.cancel();
    }
    finish(new Result.Abandoned(reason));
  }

  @Override
  public void onEnd() {
    HttpHeaders head = headers;
    if (ended || head == null) {
      return;
    }
    if (!supported) {
      finish(new Result.NotServed("the node does not support forwarding"));
    } else if (refusal.isPresent() && !isFinal(refusal.get())) {
      finish(new Result.NotServed("another node refused it as " + refusal.get()));
    } else if (forwarder != null) {
      endStream(forwarder);
    } else {
      complete(
          source.reply(new HttpReply(status, head, body.take())),
          refusal.<Result>map(Result.Refused::new).orElseGet(Result.Served::new));
    }
  }

  private void endStream(StreamForwarder stream) {
    if (stream.isWhole()) {
      complete(stream.end(), new Result.Served());
    } else {
      finish(new Result.Abandoned("its stream ended inside an event"));
    }
  }

  /**
   * Returns whether a refusal of another node is the response to the caller. A refusal that
   * guarantees that the request has not run is not, if another node may have run it before.
   */
  private boolean isFinal(RefusalKind kind) {
    return !kind.mayBeServedElsewhere() && (state.possibleRuns == 0 || !kind.guaranteesNotRun());
  }

  @Override
  public void onFailure(HttpCallException cause) {
    if (!ended) {
      finish(
          cause.stage() == HttpCallException.Stage.NOT_SENT
              ? new Result.NotServed(cause.getMessage())
              : new Result.Lost(cause.getMessage()));
    }
  }

  private void complete(boolean written, Result result) {
    if (written) {
      finish(result);
    } else {
      cancel();
    }
  }

  private void release() {
    body.release();
    if (forwarder != null) {
      forwarder.close();
    }
  }

  private void finish(Result result) {
    ended = true;
    release();
    onResult.accept(result);
  }
}
