package org.lockdale.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.AnswerHead;
import org.lockdale.gateway.backend.AttemptPlan;
import org.lockdale.gateway.backend.BackendLoad;
import org.lockdale.gateway.backend.BackendProtocol;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.configuration.RouteKind;
import org.lockdale.gateway.drain.BackendStatements;
import org.lockdale.gateway.life.LifeEvidence;
import org.lockdale.gateway.quarantine.LostAttempt;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.http.HttpCall;
import org.lockdale.http.HttpCallException;
import org.lockdale.http.HttpClient;
import org.lockdale.http.HttpReply;
import org.lockdale.http.HttpResponseListener;

/**
 * One attempt at one back end. A whole answer is held back until it is complete, so that a broken
 * one never reaches the caller; a stream is passed on event by event. Lives on the event loop of
 * the caller's connection.
 */
final class Attempt implements HttpResponseListener {

  private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;
  private static final long NOT_BEGUN = -1;

  private final RequestState state;
  private final TrackedBackend target;
  private final AttemptPlan plan;
  private final BackendProtocol protocol;
  private final BackendRates rates;
  private final BackendStatements statements;
  private final LifeEvidence lives;
  private final Time time;
  private final Runnable onBegun;
  private final BiConsumer<Attempt, AttemptResult> onResult;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final BackendLoad.Share share;
  private @Nullable HttpCall call;
  private @Nullable AnswerHead head;
  private @Nullable StreamRelay relay;
  private long heardAtMillis;
  private long sentAtMillis;
  private long sentAtMonotonicMillis;
  private long begunAtMillis = NOT_BEGUN;
  private LostAttempt.@Nullable Loss loss;
  private boolean ended;
  private boolean withdrawn;
  private final Runnable lifeOver;
  private String failure = "";

  Attempt(
      RequestState state,
      TrackedBackend target,
      AttemptPlan plan,
      BackendProtocol protocol,
      BackendRates rates,
      BackendStatements statements,
      LifeEvidence lives,
      Time time,
      Runnable onBegun,
      BiConsumer<Attempt, AttemptResult> onResult) {
    this.state = state;
    this.target = target;
    this.plan = plan;
    this.protocol = protocol;
    this.rates = rates;
    this.statements = statements;
    this.lives = lives;
    this.time = time;
    this.onBegun = onBegun;
    this.onResult = onResult;
    this.lifeOver = () -> state.exchange.eventLoop().execute(this::lifeOver);
    this.share = target.load().open(state.queuedTokens(), state.promptTokens());
  }

  /**
   * Sends the request.
   *
   * @param client carries it
   * @param mostConnections most connections that this node may have open to the back end
   */
  void start(HttpClient client, int mostConnections) {
    sentAtMillis = time.steadyMillis();
    sentAtMonotonicMillis = time.monotonicMillis();
    heardAtMillis = sentAtMillis;
    target.whenOver(lifeOver);
    rates.sent(target.backend().id());
    call =
        client.send(
            state.exchange.eventLoop(),
            plan.backend().address(),
            protocol.write(state.request, plan),
            this,
            mostConnections);
  }

  /**
   * Gives the attempt up; no result is reported.
   *
   * @return whether the back end may have received the request
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

  /** Gives an attempt up whose answer has not begun; the back end may have received it. */
  void abandonWaiting(String reason) {
    if (!ended) {
      loss = LostAttempt.Loss.GIVEN_UP;
      abandon(AttemptResult.FAILED, reason);
    }
  }

  /** Nothing comes any more from a life that is over, though no close or reset may tell so. */
  private void lifeOver() {
    if (!ended) {
      loss = LostAttempt.Loss.SILENT;
      abandon(brokenResult(), "its back end has started again");
    }
  }

  /** Returns whether no event of the answer has come yet. */
  boolean isWaiting() {
    StreamRelay stream = relay;
    return stream == null || !stream.hasBegun();
  }

  /** Returns how long nothing has come from the back end, in milliseconds. */
  long silentMillis() {
    return time.steadyMillis() - heardAtMillis;
  }

  /** Returns how the answer was lost before it was whole; null where the back end ended it. */
  LostAttempt.@Nullable Loss loss() {
    return loss;
  }

  /**
   * Returns how long the answer has been coming, in milliseconds: 0 before the first event of a
   * stream. Other answers don't tell when they begin, so these count from the sending.
   */
  long answerMillis() {
    boolean streams = state.route().kind() == RouteKind.STREAM;
    long since = streams ? begunAtMillis : sentAtMillis;
    return since == NOT_BEGUN ? 0 : time.steadyMillis() - since;
  }

  /** Returns when the connection that carries it came up, by the monotonic clock. */
  long connectedAtMillis() {
    HttpCall current = call;
    return time.monotonicMillis() - (current == null ? 0 : current.connectionAgeMillis());
  }

  TrackedBackend target() {
    return target;
  }

  AttemptPlan plan() {
    return plan;
  }

  /** Returns why the attempt failed, in words. */
  String failure() {
    return failure;
  }

  /** Returns the failed answer of the back end itself, or null where there is none whole. */
  @Nullable HttpReply ownFailureReply() {
    AnswerHead received = head;
    return received == null ? null : new HttpReply(received.status(), received.headers(), bytes());
  }

  private byte[] bytes() {
    return body.toByteArray();
  }

  /** What a back end said while the request waited for a connection counts as well. */
  @Override
  public boolean maySend() {
    withdrawn = !target.isServing() || target.rest().isOn(time.monotonicMillis());
    return !withdrawn;
  }

  @Override
  public boolean accepts(int status, HttpHeaders headers) {
    return protocol.belongsTo(state.request, headers);
  }

  @Override
  public void onHead(int status, HttpHeaders headers) {
    heard();
    AnswerHead received = protocol.read(status, headers);
    head = received;
    String model = state.request.model();
    if (model != null && received.weights() != null) {
      target.observeWeights(model, received.weights());
    }
    if (!received.misdirected()) {
      lives.answered(target, connectedAtMillis(), sentAtMonotonicMillis);
      rates.stated(target.backend().id(), received.rate(), sentAtMonotonicMillis);
      statements.heard(target, received);
    }
    if (received.misdirected()) {
      finish(AttemptResult.MISDIRECTED, "it is not the back end that was meant");
    } else if (received.notRun()) {
      finish(AttemptResult.NOT_RUN, "it takes no request now");
    } else if (received.isSuccess() && !received.authentic()) {
      abandon(AttemptResult.FAILED, "its answer has no proof of origin");
    } else if (received.isSuccess() && received.events()) {
      relay = new StreamRelay(state, received, time);
    }
  }

  @Override
  public void onContent(ByteBuf content) {
    if (ended) {
      return;
    }
    heard();
    StreamRelay stream = relay;
    if (stream != null) {
      relayPart(stream, content);
    } else if (body.size() + content.readableBytes() > MAX_ANSWER_BYTES) {
      abandon(AttemptResult.FAILED, "its answer is over the size limit");
    } else {
      byte[] part = new byte[content.readableBytes()];
      content.readBytes(part);
      body.writeBytes(part);
    }
  }

  /** Nothing can come while the machine is suspended, so silence doesn't count that time. */
  private void heard() {
    heardAtMillis = time.steadyMillis();
  }

  private void relayPart(StreamRelay stream, ByteBuf content) {
    try {
      stream.accept(content);
      if (stream.hasBegun() && share.begin()) {
        begunAtMillis = heardAtMillis;
        onBegun.run();
      }
    } catch (IllegalArgumentException malformed) {
      abandon(brokenResult(), "its stream can't be read: " + malformed.getMessage());
      return;
    }
    if (stream.isCallerTooSlow()) {
      abandon(brokenResult(), "the caller reads too slowly");
    }
  }

  @Override
  public void onEnd() {
    if (ended) {
      return;
    }
    AnswerHead received = head;
    if (received == null) {
      finish(AttemptResult.FAILED, "it sent no answer");
    } else if (relay != null) {
      relay.end();
      finish(AttemptResult.COMPLETE, "");
    } else if (received.promisesNotRun()) {
      // Without the back end's own word that it did not run the request, nobody may promise it.
      head = null;
      finish(AttemptResult.FAILED, "it answered " + received.status() + " without a reason");
    } else if (received.isServerError()) {
      finish(AttemptResult.FAILED, "it answered " + received.status());
    } else {
      state.exchange.reply(new HttpReply(received.status(), received.headers(), bytes()));
      finish(AttemptResult.COMPLETE, "");
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
    finish(resultOf(cause), cause.getMessage());
  }

  private AttemptResult resultOf(HttpCallException cause) {
    if (withdrawn || cause.isAtConnectionLimit()) {
      return AttemptResult.WITHDRAWN;
    }
    return cause.stage() == HttpCallException.Stage.NOT_SENT
        ? AttemptResult.NOT_SENT
        : brokenResult();
  }

  private AttemptResult brokenResult() {
    return relay != null && state.answerStarted ? AttemptResult.BROKEN_OFF : AttemptResult.FAILED;
  }

  private void abandon(AttemptResult result, String reason) {
    head = null;
    HttpCall current = call;
    if (current != null) {
      current.cancel();
    }
    finish(result, reason);
  }

  private void finish(AttemptResult result, String reason) {
    ended = true;
    failure = reason;
    release();
    onResult.accept(this, result);
  }

  private void release() {
    target.forget(lifeOver);
    share.end();
    if (relay != null) {
      relay.close();
    }
  }
}
