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
 * Claims in the table service which ensure that at most one attempt of a request runs.
 *
 * <p>The row of an idempotency key is created with a conditional write before the attempt is
 * dispatched; an attempt whose claim failed must not be dispatched. Another attempt can take over a
 * row only in the state {@link ClaimState#NOT_RUN}, which is written only if the previous attempt
 * can no longer run. Claims do not expire, so a holder that resumes after a pause can't violate
 * this. Safe for use by several threads.
 */
public final class RunOnceClaims {

  /** Table that holds the rows. */
  public static final String TABLE = "claims";

  private static final int MAX_WRITE_ATTEMPTS = 4;

  private final TableService tables;
  private final Time time;
  private final MessageCodec<ClaimRecord> codec = MessageCodec.claims();

  /** Creates claims that are stored in a table service. */
  public RunOnceClaims(TableService tables, Time time) {
    this.tables = tables;
    this.time = time;
  }

  /**
   * Tries to take the claim of a key.
   *
   * @param key row key, unique for tenant and idempotency key
   * @param attempt the attempt with its node and engine, in the state {@code CLAIMED}
   * @return the decision; fails with {@link TableServiceException} if a call to the service failed;
   *     the attempt must not be dispatched then, and {@link #abandon} must be called
   */
  public CompletableFuture<ClaimDecision> claim(String key, ClaimRecord attempt) {
    return create(key, attempt, MAX_WRITE_ATTEMPTS)
        .handle(
            (row, failure) -> {
              if (failure == null) {
                return completed(
                    new ClaimDecision.Granted(new HeldClaim(key, attempt, row.version())));
              }
              if (kindOf(failure) == TableServiceException.Kind.CONDITION_FAILED) {
                return decideByRow(key, attempt);
              }
              return CompletableFuture.<ClaimDecision>failedFuture(Failures.causeOf(failure));
            })
        .thenCompose(decision -> decision);
  }

  private static CompletableFuture<ClaimDecision> completed(ClaimDecision decision) {
    return CompletableFuture.completedFuture(decision);
  }

  /**
   * Creates the row, and retries if the outcome is unknown. If an earlier try took effect, the
   * attempt id identifies the row as that of this attempt.
   */
  private CompletableFuture<TableRow> create(String key, ClaimRecord record, int attemptsLeft) {
    return tables
        .create(TABLE, key, codec.encode(record))
        .handle(
            (row, failure) -> {
              if (failure == null) {
                return CompletableFuture.completedFuture(row);
              }
              boolean mayHaveTakenEffect =
                  kindOf(failure) == TableServiceException.Kind.OUTCOME_UNKNOWN;
              if (mayHaveTakenEffect && attemptsLeft > 1) {
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
                return completed(new ClaimDecision.Granted(existing));
              }
              if (record.getRequestFingerprint() != attempt.getRequestFingerprint()) {
                return completed(new ClaimDecision.KeyReused());
              }
              return switch (record.getState()) {
                case COMPLETE -> completed(new ClaimDecision.AlreadyComplete(record));
                case UNKNOWN -> completed(new ClaimDecision.OutcomeLost(record));
                case CLAIMED ->
                    completed(new ClaimDecision.HeldByOther(record, existing.rowVersion()));
                case NOT_RUN -> takeOver(existing, attempt);
              };
            });
  }

  /**
   * Reads the claim of a key.
   *
   * @return the claim, or empty if the key was never used
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
                return completed(new ClaimDecision.Granted(claim));
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
   * Stores the response of an attempt that ran, to be returned when the request is repeated.
   *
   * @param claim the claim that the attempt holds
   * @param status HTTP status of the response
   * @param contentType media type of the response
   * @param body body of the response
   */
  public CompletableFuture<HeldClaim> complete(
      HeldClaim claim, int status, String contentType, byte[] body) {
    ClaimRecord record = withState(claim.record(), ClaimState.COMPLETE);
    record.setAnswerStatus(status);
    record.setAnswerContentType(contentType);
    record.setAnswerBody(ByteBuffer.wrap(body));
    return replace(claim, record);
  }

  /**
   * Transfers a held claim to another attempt of the same request, after the engine rejected the
   * first one. The row must name the engine before the attempt is sent to it, as other nodes would
   * otherwise query the wrong engine for the state of the attempt.
   */
  public CompletableFuture<HeldClaim> move(HeldClaim claim, ClaimRecord attempt) {
    return replace(claim, attempt);
  }

  /** Releases the claim of an attempt that did not run and can no longer run. */
  public CompletableFuture<HeldClaim> release(HeldClaim claim) {
    return replace(claim, withState(claim.record(), ClaimState.NOT_RUN));
  }

  /** Records that the attempt may have run and that its response is lost. */
  public CompletableFuture<HeldClaim> markUnknown(HeldClaim claim) {
    return replace(claim, withState(claim.record(), ClaimState.UNKNOWN));
  }

  /**
   * Ends the claim of an attempt that was never dispatched, if it is not known whether the claim
   * was created. If there is no row, it is created in the state {@link ClaimState#NOT_RUN};
   * otherwise a delayed write of the claim could block the key forever.
   */
  public CompletableFuture<HeldClaim> abandon(String key, ClaimRecord attempt) {
    return read(key)
        .thenCompose(
            found -> {
              ClaimRecord notRun = withState(attempt, ClaimState.NOT_RUN);
              if (found.isEmpty()) {
                return tables
                    .create(TABLE, key, codec.encode(notRun))
                    .thenApply(row -> new HeldClaim(key, notRun, row.version()));
              }
              HeldClaim existing = found.get();
              boolean ownedByAttempt =
                  existing.record().getAttemptId().equals(attempt.getAttemptId())
                      && existing.record().getState() == ClaimState.CLAIMED;
              return ownedByAttempt
                  ? replace(existing, notRun)
                  : CompletableFuture.completedFuture(existing);
            });
  }

  private ClaimRecord withState(ClaimRecord record, ClaimState state) {
    ClaimRecord updated = record.copy();
    updated.setState(state);
    updated.setUpdatedAtMillis(time.wallMillis());
    return updated;
  }

  private static TableServiceException.Kind kindOf(Throwable failure) {
    Throwable cause = Failures.causeOf(failure);
    return cause instanceof TableServiceException known
        ? known.kind()
        : TableServiceException.Kind.OUTCOME_UNKNOWN;
  }
}
