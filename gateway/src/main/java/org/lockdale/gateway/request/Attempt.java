package org.lockdale.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.AttemptPlan;
import org.lockdale.gateway.backend.BackendLoad;
import org.lockdale.gateway.backend.BackendProtocol;
import org.lockdale.gateway.backend.ResponseHead;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.capacity.ObservedAttempt;
import org.lockdale.gateway.configuration.RouteKind;
import org.lockdale.gateway.quarantine.LostAttempt;
import org.lockdale.http.BodyFraming;
import org.lockdale.http.HttpCall;
import org.lockdale.http.HttpCallException;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpResponseListener;

/**
 * One attempt at one backend. A plain response is buffered until it is complete, so that a broken
 * one never reaches the caller; a stream is forwarded event by event. Confined to the event loop of
 * the caller's connection.
 */
final class Attempt implements HttpResponseListener {

  private final RequestState state;
  private final TrackedBackend target;
  private final AttemptPlan plan;
  private final BackendProtocol protocol;
  private final RequestServices services;
  private final Time time;
  private final AttemptTimes times;
  private final Runnable onFirstEvent;
  private final BiConsumer<Attempt, AttemptResult> onResult;
  private final CallerResponse.Source source;
  private final ResponseBuffer body;
  private final BackendLoad.Share share;
  private final ObservedAttempt observed;
  private final AttemptRateSend rateSend;
  private @Nullable HttpCall call;
  private @Nullable ResponseHead head;
  private @Nullable StreamForwarder forwarder;
  private LostAttempt.@Nullable Loss loss;
  private boolean ended;
  private boolean withdrawn;
  private boolean responded;
  private final Runnable onIncarnationEnd;
  private String failure = "";

  Attempt(
      RequestState state,
      TrackedBackend target,
      AttemptPlan plan,
      BackendProtocol protocol,
      RequestServices services,
      Time time,
      CallerResponse.Source source,
      AttemptRateSend rateSend,
      Runnable onFirstEvent,
      BiConsumer<Attempt, AttemptResult> onResult) {
    this.state = state;
    this.target = target;
    this.plan = plan;
    this.protocol = protocol;
    this.services = services;
    this.time = time;
    this.times = new AttemptTimes(time);
    this.source = source;
    this.rateSend = rateSend;
    this.body = new ResponseBuffer(state.exchange.held());
    this.onFirstEvent = onFirstEvent;
    this.onResult = onResult;
    this.onIncarnationEnd = () -> state.exchange.eventLoop().execute(this::incarnationEnded);
    this.observed = services.engines().observations().open(target, state.attemptLoad(target));
    this.share = target.load().open(state.queuedTokens(), state.promptTokens());
  }

  /**
   * Sends the request.
   *
   * @param client HTTP client that sends it
   * @param maxConnections maximum number of connections that this node may have open to the backend
   */
  void start(HttpClient client, int maxConnections) {
    source.open();
    times.recordSent();
    target.addEndListener(onIncarnationEnd);
    rateSend.start(target.backend().id(), state.request.id());
    call =
        client.send(
            state.exchange.eventLoop(),
            plan.backend().address(),
            protocol.write(state.request, plan),
            this,
            maxConnections);
  }

  /**
   * Cancels the attempt without reporting a result.
   *
   * @return whether the backend may have received the request
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

  /**
   * Abandons an attempt whose response has not started, and reports it as failed: the backend may
   * have received the request.
   */
  void abandonWaiting(String reason) {
    if (!ended) {
      loss = LostAttempt.Loss.GIVEN_UP;
      abandon(AttemptResult.FAILED, reason);
    }
  }

  /** Fails the attempt: an ended incarnation sends nothing more, and may not close connections. */
  private void incarnationEnded() {
    if (!ended) {
      loss = LostAttempt.Loss.SILENT;
      abandon(brokenResult(), "it has been replaced by another instance");
    }
  }

  /** Returns whether no event of the response was received yet. */
  boolean isWaiting() {
    return forwarder == null || !forwarder.hasStarted();
  }

  /**
   * Returns the time since anything was received from the backend, in milliseconds; 0 while the
   * caller holds the response up, and counted from the end of such a pause after it.
   */
  long silentMillis() {
    return isHeldUp() ? 0 : times.silentMillis();
  }

  /** Returns whether the response is not read now because the caller reads too slowly. */
  boolean isHeldUp() {
    return forwarder != null && forwarder.flow().isPaused();
  }

  /**
   * Returns whether this attempt was ever held up by its caller or by a lack of memory of this
   * node, so that neither its times nor its failure tell anything about the backend.
   */
  boolean wasHeldUp() {
    boolean heldUp = forwarder != null && forwarder.flow().wasHeldUp();
    return heldUp || body.isOutOfMemory();
  }

  /** Returns how the response was lost; null if it was not. */
  LostAttempt.@Nullable Loss loss() {
    return loss;
  }

  /** Returns whether a response of the server that it was meant for had begun to arrive. */
  boolean responded() {
    return responded;
  }

  /** Returns for how long the response has been arriving, in milliseconds. */
  long responseMillis() {
    return times.responseMillis(state.route().kind() == RouteKind.STREAM);
  }

  /**
   * Returns for how much of {@link #responseMillis} nothing has arrived, in milliseconds: 0 where
   * the start of the response is not visible.
   */
  long responseSilentMillis() {
    return times.hasStarted() ? silentMillis() : 0;
  }

  /** Returns the monotonic time at which its connection was established, in milliseconds. */
  long connectedAtMillis() {
    return times.connectedAtMillis(call);
  }

  /** Returns the local port of its connection; 0 while it has none. */
  int connection() {
    return call == null ? 0 : call.connection();
  }

  ObservedAttempt observed() {
    return observed;
  }

  TrackedBackend target() {
    return target;
  }

  AttemptPlan plan() {
    return plan;
  }

  /** Returns the reason of the failure for messages; empty if there is none. */
  String failure() {
    return failure;
  }

  /** Returns the complete failure response of the backend, or null if there is none. */
  @Nullable HttpReply backendFailureReply() {
    ResponseHead received = head;
    return received == null ? null : body.replyWith(received);
  }

  /**
   * Checks again just before sending, as the backend may have announced draining or a backoff while
   * the request waited for a connection, and the connection may lead to its next incarnation.
   */
  @Override
  public boolean maySend(long connectionAgeMillis) {
    withdrawn = !services.maySend(state, target, connectionAgeMillis, time.monotonicMillis());
    return !withdrawn;
  }

  @Override
  public void onHead(int status, HttpHeaders headers) {
    recordReceived();
    rateSend.answered();
    ResponseHead received = protocol.read(status, headers);
    if (state.receivedFromPeer) {
      ForwardHeaders.markResponse(received.headers(), state.configuration.version());
    }
    head = received;
    String model = state.request.model();
    if (model != null && received.weights() != null) {
      target.observeWeights(model, received.weights());
    }
    if (!received.misdirected()) {
      responded = true;
      services.recordResponse(target, received, connectedAtMillis(), times.sentAtMonotonicMillis());
    }
    HeadRejection rejection = HeadRejection.of(received);
    if (rejection != null && rejection.abandons()) {
      abandon(rejection.result(), rejection.reason());
    } else if (rejection != null) {
      finish(rejection.result(), rejection.reason());
    } else if (received.isSuccess() && received.eventStream()) {
      BodyFraming framing = BodyFraming.of(state.request.method(), status, headers);
      CallerFlow flow =
          new CallerFlow(state.exchange, call, services.held(), time, this::recordResumed);
      source.prepareStream(received.status(), received.headers(), state.route().resumable());
      forwarder = new StreamForwarder(source, framing, flow, time);
    }
  }

  @Override
  public void onContent(ByteBuf content) {
    if (ended) {
      return;
    }
    recordReceived();
    StreamForwarder stream = forwarder;
    if (!source.isCurrent()) {
      cancel();
    } else if (stream != null) {
      forwardPart(stream, content);
    } else {
      String problem = body.append(content);
      if (problem != null) {
        abandon(AttemptResult.FAILED, problem);
      }
    }
  }

  private void recordReceived() {
    times.recordReceived();
    observed.recordReceived();
    services.reachability().recordReached(state.pool);
  }

  private void recordResumed() {
    times.recordReceived();
    observed.setPaused(false);
  }

  private void forwardPart(StreamForwarder stream, ByteBuf content) {
    try {
      stream.accept(content);
      observed.recordEvents(stream.takeNewEvents());
      observed.setPaused(isHeldUp());
      if (stream.hasStarted() && share.recordStart()) {
        times.recordStart();
        onFirstEvent.run();
      }
    } catch (IllegalArgumentException malformed) {
      abandon(brokenResult(), "its stream cannot be parsed: " + malformed.getMessage());
    }
  }

  @Override
  public void onEnd() {
    if (ended) {
      return;
    }
    ResponseHead received = head;
    if (received == null) {
      finish(AttemptResult.FAILED, "it sent no response");
    } else if (forwarder != null) {
      endStream(forwarder);
    } else if (state.response.hasStarted()) {
      head = null;
      finish(AttemptResult.BROKEN_OFF, received.summary() + " instead of the rest of a stream");
    } else if (received.impliesNotRun()) {
      // Only the backend itself may guarantee its caller that the request was not run.
      head = null;
      finish(AttemptResult.FAILED, received.summary() + " without a reason");
    } else if (received.isServerError()) {
      finish(AttemptResult.FAILED, received.summary());
    } else {
      complete(source.reply(new HttpReply(received.status(), received.headers(), body.take())));
    }
  }

  /** Ends the response to the caller, unless the stream was broken off. */
  private void endStream(StreamForwarder stream) {
    if (stream.isWhole()) {
      complete(stream.end());
      return;
    }
    if (stream.framing() == BodyFraming.CLOSE_DELIMITED) {
      loss = LostAttempt.Loss.CLOSED;
    }
    head = null;
    finish(brokenResult(), "its " + stream.framing() + " stream ended inside an event");
  }

  private void complete(boolean written) {
    if (written) {
      finish(AttemptResult.COMPLETE, "");
    } else {
      cancel();
    }
  }

  @Override
  public void onFailure(HttpCallException cause) {
    if (ended) {
      return;
    }
    head = null;
    if (cause.stage() != HttpCallException.Stage.NOT_SENT) {
      loss = cause.isClosedByPeer() ? LostAttempt.Loss.CLOSED : LostAttempt.Loss.SILENT;
    }
    finish(AttemptResult.ofFailure(cause, withdrawn, brokenResult()), cause.getMessage());
  }

  private AttemptResult brokenResult() {
    return forwarder != null && state.response.hasStarted()
        ? AttemptResult.BROKEN_OFF
        : AttemptResult.FAILED;
  }

  private void abandon(AttemptResult result, String reason) {
    head = null;
    if (call != null) {
      call.cancel();
    }
    finish(result, reason);
  }

  private void finish(AttemptResult result, String reason) {
    ended = true;
    failure = reason;
    if (result == AttemptResult.COMPLETE) {
      observed.complete();
    }
    release();
    onResult.accept(this, result);
  }

  private void release() {
    rateSend.ended(call, loss);
    target.removeEndListener(onIncarnationEnd);
    if (call != null) {
      call.discardContent();
    }
    share.end();
    observed.end();
    body.release();
    if (forwarder != null) {
      forwarder.close();
    }
  }
}
