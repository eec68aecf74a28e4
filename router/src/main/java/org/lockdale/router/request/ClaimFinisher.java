package org.lockdale.router.request;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.lockdale.coordination.claim.HeldClaim;
import org.lockdale.coordination.claim.RunOnceClaims;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.protocol.generated.ClaimRecord;
import org.tinylog.Logger;

/**
 * Writes the final states of claims without delaying the response, and retries while the table
 * service is unavailable. If the node stops before a state is written, a repeat of the request does
 * not get the stored response, but it never runs a second time.
 */
final class ClaimFinisher {

  private static final long FIRST_DELAY_MILLIS = 200;
  private static final long MAX_DELAY_MILLIS = 5_000;
  private static final int MAX_ATTEMPTS = 200;
  private static final int MAX_PENDING = 10_000;

  private final RunOnceClaims claims;
  private final EventLoopGroup group;
  private final AtomicInteger pending = new AtomicInteger();

  ClaimFinisher(RunOnceClaims claims, EventLoopGroup group) {
    this.claims = claims;
    this.group = group;
  }

  void complete(HeldClaim claim, int status, String contentType, byte[] body) {
    submit("complete", () -> claims.complete(claim, status, contentType, body));
  }

  void release(HeldClaim claim) {
    submit("release", () -> claims.release(claim));
  }

  void markUnknown(HeldClaim claim) {
    submit("mark-unknown", () -> claims.markUnknown(claim));
  }

  void abandon(String key, ClaimRecord attempt) {
    submit("abandon", () -> claims.abandon(key, attempt));
  }

  /** Returns the number of final states still to be written. */
  int pendingCount() {
    return pending.get();
  }

  private void submit(String action, Supplier<CompletableFuture<HeldClaim>> write) {
    if (pending.incrementAndGet() > MAX_PENDING) {
      pending.decrementAndGet();
      Logger.warn("event=claim-end-dropped action={} reason=too-many-pending", action);
      return;
    }
    tryWrite(action, write, 1);
  }

  private void tryWrite(String action, Supplier<CompletableFuture<HeldClaim>> write, int attempts) {
    write
        .get()
        .whenComplete(
            (claim, failure) -> {
              if (failure == null || isConditionFailure(failure) || attempts >= MAX_ATTEMPTS) {
                pending.decrementAndGet();
                return;
              }
              long delay = Math.min(MAX_DELAY_MILLIS, FIRST_DELAY_MILLIS << Math.min(attempts, 10));
              group
                  .next()
                  .schedule(
                      () -> tryWrite(action, write, attempts + 1), delay, TimeUnit.MILLISECONDS);
            });
  }

  /**
   * Returns whether the row has another version than expected: either this same write succeeded and
   * its response was lost, or a later holder of the claim has written the row.
   */
  private static boolean isConditionFailure(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return cause instanceof TableServiceException known
        && known.kind() == TableServiceException.Kind.CONDITION_FAILED;
  }
}
