package org.lockdale.router.request;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import net.openhft.hashing.LongHashFunction;
import org.lockdale.coordination.claim.ClaimDecision;
import org.lockdale.coordination.claim.HeldClaim;
import org.lockdale.coordination.claim.RunOnceClaims;
import org.lockdale.coordination.time.Time;
import org.lockdale.http.HttpReply;
import org.lockdale.openai.HeaderNames;
import org.lockdale.openai.Outcome;
import org.lockdale.protocol.generated.ClaimRecord;
import org.lockdale.protocol.generated.ClaimState;
import org.lockdale.router.blackboard.Blackboard;
import org.lockdale.router.engine.AttemptFate;
import org.lockdale.router.engine.EngineClient;
import org.lockdale.router.engine.EngineView;
import org.lockdale.router.error.ErrorKind;
import org.lockdale.router.error.RequestException;
import org.lockdale.router.policy.PolicySet;

/**
 * Acquires the claim of a request that must run at most once, before the request is dispatched. If
 * another attempt holds the claim, queries the state of that attempt at its engine: the claim is
 * taken over only if the engine confirms that the attempt has not started and never will.
 */
final class ClaimStep implements RequestStep {

  /** Age below which a claim is left to its holder, which may be about to dispatch. */
  private static final long HOLDER_GRACE_MILLIS = 3_000;

  private final RunOnceClaims claims;
  private final ClaimFinisher finisher;
  private final EngineClient engines;
  private final Blackboard blackboard;
  private final String nodeId;
  private final Time time;

  ClaimStep(
      RunOnceClaims claims,
      ClaimFinisher finisher,
      EngineClient engines,
      Blackboard blackboard,
      String nodeId,
      Time time) {
    this.claims = claims;
    this.finisher = finisher;
    this.engines = engines;
    this.blackboard = blackboard;
    this.nodeId = nodeId;
    this.time = time;
  }

  @Override
  public CompletableFuture<Next> apply(RequestContext context) {
    if (!context.isRunOnce()) {
      return CONTINUE;
    }
    ClaimRecord attempt = newClaimRecord(context);
    CompletableFuture<Next> result =
        context.claim == null
            ? takeClaim(context, claimKey(context), attempt)
            : moveClaim(context, context.claim, attempt);
    // The table service completes on its own threads; return to the connection's event loop.
    return result.whenCompleteAsync((next, failure) -> {}, context.exchange.eventLoop());
  }

  private static String claimKey(RequestContext context) {
    // The key includes the tenant, so that claims of different tenants never collide.
    return PolicySet.hashOfKey(context.tenant.name() + "\u0000" + context.idempotencyKey);
  }

  private ClaimRecord newClaimRecord(RequestContext context) {
    EngineView engine = context.placement.engine();
    return new ClaimRecord(
        context.attemptId,
        nodeId,
        engine.id(),
        engine.incarnation(),
        LongHashFunction.xx3().hashBytes(context.exchange.body()),
        ClaimState.CLAIMED,
        time.wallMillis(),
        0,
        "",
        ByteBuffer.allocate(0));
  }

  private CompletableFuture<Next> takeClaim(
      RequestContext context, String key, ClaimRecord attempt) {
    return claims
        .claim(key, attempt)
        .exceptionally(
            failure -> {
              finisher.abandon(key, attempt);
              throw storeUnavailableError();
            })
        .thenCompose(decision -> handleDecision(context, key, attempt, decision));
  }

  /**
   * Moves the claim to a new attempt, after an engine rejected an earlier attempt of this request.
   */
  private CompletableFuture<Next> moveClaim(
      RequestContext context, HeldClaim held, ClaimRecord attempt) {
    return claims
        .move(held, attempt)
        .handle(
            (claim, failure) -> {
              if (failure != null) {
                // The row may name either attempt; neither can run any more, so the claims of both
                // are released.
                finisher.release(held);
                finisher.abandon(held.key(), attempt);
                throw storeUnavailableError();
              }
              recordClaim(context, claim);
              return Next.CONTINUE;
            });
  }

  private static RequestException storeUnavailableError() {
    return RequestException.of(
        ErrorKind.CLAIM_STORE_UNAVAILABLE,
        "The claim of the idempotency key could not be acquired; the request was not started.");
  }

  private static void recordClaim(RequestContext context, HeldClaim claim) {
    context.claim = claim;
    context.enter(RequestStage.CLAIMED);
  }

  private CompletableFuture<Next> handleDecision(
      RequestContext context, String key, ClaimRecord attempt, ClaimDecision decision) {
    if (decision instanceof ClaimDecision.Granted granted) {
      recordClaim(context, granted.claim());
      return CONTINUE;
    }
    if (decision instanceof ClaimDecision.AlreadyComplete complete) {
      replay(context, complete.record());
      return ANSWERED;
    }
    if (decision instanceof ClaimDecision.HeldByOther held) {
      return takeOverClaim(context, key, attempt, held);
    }
    if (decision instanceof ClaimDecision.OutcomeLost) {
      throw outcomeUnknownError();
    }
    throw RequestException.of(
        ErrorKind.IDEMPOTENCY_KEY_REUSED, "The idempotency key was used for another request body.");
  }

  private static void replay(RequestContext context, ClaimRecord record) {
    if (record.getAnswerStatus() == 0) {
      throw RequestException.of(
          ErrorKind.ANSWER_NOT_KEPT, "The response was too large to be stored for repeats.");
    }
    byte[] body = new byte[record.getAnswerBody().remaining()];
    record.getAnswerBody().duplicate().get(body);
    context.exchange.reply(
        HttpReply.of(record.getAnswerStatus(), record.getAnswerContentType(), body)
            .with(HeaderNames.OUTCOME, Outcome.COMPLETE.wireName())
            .with(HeaderNames.REQUEST_ID, context.requestId));
  }

  private static RequestException outcomeUnknownError() {
    return RequestException.of(
        ErrorKind.OUTCOME_UNKNOWN,
        "The request may have run before, and its outcome can't be determined.");
  }

  private static RequestException inProgressError() {
    return RequestException.of(
        ErrorKind.REQUEST_IN_PROGRESS, "Another attempt with this idempotency key may be running.");
  }

  private CompletableFuture<Next> takeOverClaim(
      RequestContext context, String key, ClaimRecord attempt, ClaimDecision.HeldByOther held) {
    ClaimRecord holder = held.record();
    if (time.wallMillis() - holder.getUpdatedAtMillis() < HOLDER_GRACE_MILLIS) {
      throw inProgressError();
    }
    Optional<EngineView> engine =
        blackboard
            .engines()
            .value()
            .find(holder.getEngineId())
            .filter(view -> view.incarnation().equals(holder.getEngineIncarnation()));
    if (engine.isEmpty()) {
      throw outcomeUnknownError();
    }
    return engines
        .queryFate(engine.get(), holder.getAttemptId())
        .thenCompose(
            fate ->
                fate == AttemptFate.NEVER_STARTED
                    ? engines.cancel(engine.get(), holder.getAttemptId())
                    : CompletableFuture.completedFuture(fate))
        .thenCompose(
            fate -> {
              if (fate == AttemptFate.RUNNING) {
                throw inProgressError();
              }
              if (fate != AttemptFate.NEVER_STARTED) {
                throw outcomeUnknownError();
              }
              HeldClaim row = new HeldClaim(key, holder, held.rowVersion());
              return claims
                  .release(row)
                  .exceptionally(
                      failure -> {
                        throw new CompletionException(inProgressError());
                      })
                  .thenCompose(released -> takeClaim(context, key, attempt));
            });
  }
}
