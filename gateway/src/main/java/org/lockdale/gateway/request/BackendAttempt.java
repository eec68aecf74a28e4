package org.lockdale.gateway.request;

import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.AttemptPlan;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.quarantine.LostAttempt;
import org.lockdale.http.HttpReply;

/** An {@link Attempt} over the connections of this node. */
final class BackendAttempt implements RunningAttempt {

  private final RequestPath path;
  private final RequestState state;
  private final Attempt attempt;

  /**
   * Creates an attempt.
   *
   * @param onFirstEvent run when the first event of a stream arrives
   * @param onConcluded receives the result
   */
  BackendAttempt(
      RequestPath path,
      RequestState state,
      Placement placement,
      AttemptPlan plan,
      Runnable onFirstEvent,
      BiConsumer<RunningAttempt, AttemptResult> onConcluded) {
    this.path = path;
    this.state = state;
    TrackedBackend target = placement.target();
    Placement.Origin origin = placement.origin();
    String placedBy = origin == null ? "" : origin.relay();
    this.attempt =
        new Attempt(
            state,
            target,
            plan,
            path.backendProtocol(),
            path.services(),
            path.time(),
            state.response.source(target.backend().id(), this::recordStart),
            new AttemptRateSend(path.services().rates(), placedBy),
            onFirstEvent,
            (ended, result) -> onConcluded.accept(this, result));
  }

  private void recordStart() {
    TrackedBackend target = attempt.target();
    boolean isKnown =
        path.services().leadsTo(target, attempt.connectedAtMillis(), path.time().monotonicMillis());
    path.resumes().recordStart(state, target, isKnown);
  }

  @Override
  public void start() {
    attempt.start(path.client(), path.pools().maxConnectionsTo(state));
  }

  @Override
  public boolean cancel() {
    return attempt.cancel();
  }

  @Override
  public void abandonWaiting(String reason) {
    attempt.abandonWaiting(reason);
  }

  @Override
  public void onEngineSilent(Runnable action) {
    attempt.observed().onSilent(action);
  }

  @Override
  public boolean isWaiting() {
    return attempt.isWaiting();
  }

  @Override
  public long silentMillis() {
    return attempt.silentMillis();
  }

  @Override
  public boolean wasHeldUp() {
    return attempt.wasHeldUp();
  }

  @Override
  public LostAttempt.@Nullable Loss loss() {
    return attempt.loss();
  }

  @Override
  public boolean responded() {
    return attempt.responded();
  }

  @Override
  public long responseMillis() {
    return attempt.responseMillis();
  }

  @Override
  public long responseSilentMillis() {
    return attempt.responseSilentMillis();
  }

  @Override
  public long connectedAtMillis() {
    return attempt.connectedAtMillis();
  }

  @Override
  public int connection() {
    return attempt.connection();
  }

  @Override
  public TrackedBackend target() {
    return attempt.target();
  }

  @Override
  public AttemptPlan plan() {
    return attempt.plan();
  }

  @Override
  public String failure() {
    return attempt.failure();
  }

  @Override
  public @Nullable HttpReply backendFailureReply() {
    return attempt.backendFailureReply();
  }
}
