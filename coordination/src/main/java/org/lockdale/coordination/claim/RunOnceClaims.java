package org.lockdale.coordination.claim;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.table.TableRow;
import org.lockdale.coordination.table.TableService;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.time.Time;
import org.lockdale.protocol.MessageCodec;
import org.lockdale.protocol.generated.ClaimRecord;
import org.lockdale.protocol.generated.ClaimState;

/**
 * Claims in the table service that let at most one attempt of a request run.
 *
 * <p>The row of an idempotency key is created before the attempt is dispatched, by a conditional
 * write; whoever fails to create it must not dispatch. A row returns to another attempt only from
 * {@link ClaimState#NOT_RUN}, which is written only when the attempt can no longer run. Time plays
 * no part, so a paused holder that wakes up breaks nothing. Safe for use by several threads.
 */
public final class RunOnceClaims {

  /** Table that holds the rows. */
  public static final String TABLE = "claims";

  private static final int MAX_WRITE_ATTEMPTS = 4;

  private final TableService tables;
  private final Time time;
  private final MessageCodec<ClaimRecord> codec = MessageCodec.claims();

  /** Creates claims kept in a table service. */
  public RunOnceClaims(TableService tables, Time time) {
    this.tables = tables;
    this.time = time;
  }

  /**
   * Tries to take the claim of a key.
   *
   * @param key row key, unique for tenant and idempotency key
   * @param attempt names the attempt, its node and its engine; its state is {@code CLAIMED}
   * @return the decision; fails with {@link TableServiceException} where the service gave no
   *     answer, in which case the attempt must not be dispatched and {@link #abandon} must follow
   */
  public CompletableFuture<ClaimDecision> claim(String key, ClaimRecord attempt) {
    return create(key, attempt, MAX_WRITE_ATTEMPTS)
        .handle(
            (row, failure) -> {
              if (failure == null) {
                return decided(
                    new ClaimDecision.Granted(new HeldClaim(key, attempt, row.version())));
              }
              if (kindOf(failure) == TableServiceException.Kind.CONDITION_FAILED) {
                return decideByRow(key, attempt);
              }
              return CompletableFuture.<ClaimDecision>failedFuture(Failures.causeOf(failure));
            })
        .thenCompose(decision -> decision);
  }

  private static CompletableFuture<ClaimDecision> decided(ClaimDecision decision) {
    return CompletableFuture.completedFuture(decision);
  }

  /** Creates the row, again where the reply was lost: the attempt id tells whose row it is. */
  private CompletableFuture<TableRow> create(String key, ClaimRecord record, int attemptsLeft) {
    return tables
        .create(TABLE, key, codec.encode(record))
        .handle(
            (row, failure) -> {
              if (failure == null) {
                return CompletableFuture.completedFuture(row);
              }
              boolean lost = kindOf(failure) == TableServiceException.Kind.OUTCOME_UNKNOWN;
              if (lost && attemptsLeft > 1) {
                return create(key, record, attemptsLeft - 1);
              }
              return CompletableFuture.<TableRow>failedFuture(Failures.causeOf(failure));
            })
        .thenCompose(row -> row);
  }

  private CompletableFuture<ClaimDecision> decideByRow(String key, ClaimRecord attempt) {
    return read(key)
        .thenCompose(
            found -> {
              HeldClaim existing = found.orElseThrow();
              ClaimRecord record = existing.record();
              if (record.getAttemptId().equals(attempt.getAttemptId())
                  && record.getState() == ClaimState.CLAIMED) {
                return decided(new ClaimDecision.Granted(existing));
              }
              if (record.getRequestFingerprint() != attempt.getRequestFingerprint()) {
                return decided(new ClaimDecision.KeyReused());
              }
              return switch (record.getState()) {
                case COMPLETE -> decided(new ClaimDecision.AlreadyComplete(record));
                case UNKNOWN -> decided(new ClaimDecision.OutcomeLost(record));
                case CLAIMED ->
                    decided(new ClaimDecision.HeldByOther(record, existing.rowVersion()));
                case NOT_RUN -> takeOver(existing, attempt);
              };
            });
  }

  /**
   * Reads the claim of a key.
   *
   * @return the claim, or empty where the key was never used
   */
  public CompletableFuture<Optional<HeldClaim>> read(String key) {
    return tables
        .read(TABLE, key)
        .thenApply(
            row ->
                row.map(found -> new HeldClaim(key, codec.decode(found.value()), found.version())));
  }

  private CompletableFuture<ClaimDecision> takeOver(HeldClaim released, ClaimRecord attempt) {
    return replace(released, attempt)
        .handle(
            (claim, failure) -> {
              if (failure == null) {
                return decided(new ClaimDecision.Granted(claim));
              }
              if (kindOf(failure) == TableServiceException.Kind.CONDITION_FAILED
                  || kindOf(failure) == TableServiceException.Kind.OUTCOME_UNKNOWN) {
                return decideByRow(released.key(), attempt);
              }
              return CompletableFuture.<ClaimDecision>failedFuture(Failures.causeOf(failure));
            })
        .thenCompose(decision -> decision);
  }

  private CompletableFuture<HeldClaim> replace(HeldClaim held, ClaimRecord record) {
    return tables
        .replace(TABLE, held.key(), codec.encode(record), held.rowVersion())
        .thenApply(row -> new HeldClaim(held.key(), record, row.version()));
  }

  /**
   * Stores the answer of an attempt that ran, for repeats of the request.
   *
   * @param status HTTP status of the answer
   * @param contentType media type of the answer
   * @param body the answer
   */
  public CompletableFuture<HeldClaim> complete(
      HeldClaim claim, int status, String contentType, byte[] body) {
    ClaimRecord record = ended(claim.record(), ClaimState.COMPLETE);
    record.setAnswerStatus(status);
    record.setAnswerContentType(contentType);
    record.setAnswerBody(ByteBuffer.wrap(body));
    return replace(claim, record);
  }

  /**
   * Moves a held claim to another attempt of the same request, after the first one was refused by
   * its engine. The row must name the engine before the attempt is sent there, or others would ask
   * the wrong engine for its fate.
   */
  public CompletableFuture<HeldClaim> move(HeldClaim claim, ClaimRecord attempt) {
    return replace(claim, attempt);
  }

  /** Gives the claim back: the attempt did not run and can no longer run. */
  public CompletableFuture<HeldClaim> release(HeldClaim claim) {
    return replace(claim, ended(claim.record(), ClaimState.NOT_RUN));
  }

  /** Records that the attempt may have run and that its answer is lost. */
  public CompletableFuture<HeldClaim> markUnknown(HeldClaim claim) {
    return replace(claim, ended(claim.record(), ClaimState.UNKNOWN));
  }

  /**
   * Ends a claim whose creation may or may not have taken effect and whose attempt was never
   * dispatched. Where the row is absent it is created as not run, so that a late write of the first
   * creation can't hold the key for ever.
   */
  public CompletableFuture<HeldClaim> abandon(String key, ClaimRecord attempt) {
    return read(key)
        .thenCompose(
            found -> {
              ClaimRecord notRun = ended(attempt, ClaimState.NOT_RUN);
              if (found.isEmpty()) {
                return tables
                    .create(TABLE, key, codec.encode(notRun))
                    .thenApply(row -> new HeldClaim(key, notRun, row.version()));
              }
              HeldClaim existing = found.get();
              boolean isOwn =
                  existing.record().getAttemptId().equals(attempt.getAttemptId())
                      && existing.record().getState() == ClaimState.CLAIMED;
              return isOwn
                  ? replace(existing, notRun)
                  : CompletableFuture.completedFuture(existing);
            });
  }

  private ClaimRecord ended(ClaimRecord record, ClaimState state) {
    ClaimRecord ended = record.copy();
    ended.setState(state);
    ended.setUpdatedAtMillis(time.wallMillis());
    return ended;
  }

  private static TableServiceException.Kind kindOf(Throwable failure) {
    Throwable cause = Failures.causeOf(failure);
    return cause instanceof TableServiceException known
        ? known.kind()
        : TableServiceException.Kind.OUTCOME_UNKNOWN;
  }
}
