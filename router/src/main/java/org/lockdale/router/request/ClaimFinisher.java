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
 * Writes the ends of claims after the caller has its answer, and goes on trying while the table
 * service is down. What is lost with the node only costs the repeat of a request its stored answer,
 * never a second run.
 */
final class ClaimFinisher {

  private static final long FIRST_DELAY_MILLIS = 200;
  private static final long MAX_DELAY_MILLIS = 5_000;
  private static final int MAX_TRIES = 200;
  private static final int MAX_PENDING = 10_000;

  private final RunOnceClaims claims;
  private final EventLoopGroup group;
  private final AtomicInteger pending = new AtomicInteger();

  ClaimFinisher(RunOnceClaims claims, EventLoopGroup group) {
    this.claims = claims;
    this.group = group;
  }

  void complete(HeldClaim claim, int status, String contentType, byte[] body) {
    start("complete", () -> claims.complete(claim, status, contentType, body));
  }

  void release(HeldClaim claim) {
    start("release", () -> claims.release(claim));
  }

  void markUnknown(HeldClaim claim) {
    start("mark-unknown", () -> claims.markUnknown(claim));
  }

  void abandon(String key, ClaimRecord attempt) {
    start("abandon", () -> claims.abandon(key, attempt));
  }

  /** Returns how many ends are still to be written. */
  int pendingCount() {
    return pending.get();
  }

  private void start(String action, Supplier<CompletableFuture<HeldClaim>> write) {
    if (pending.incrementAndGet() > MAX_PENDING) {
      pending.decrementAndGet();
      Logger.warn("event=claim-end-dropped action={} reason=too-many-pending", action);
      return;
    }
    attempt(action, write, 1);
  }

  private void attempt(String action, Supplier<CompletableFuture<HeldClaim>> write, int tries) {
    write
        .get()
        .whenComplete(
            (claim, failure) -> {
              if (failure == null || isSettledByOther(failure) || tries >= MAX_TRIES) {
                pending.decrementAndGet();
                return;
              }
              long delay = Math.min(MAX_DELAY_MILLIS, FIRST_DELAY_MILLIS << Math.min(tries, 10));
              group
                  .next()
                  .schedule(() -> attempt(action, write, tries + 1), delay, TimeUnit.MILLISECONDS);
            });
  }

  /**
   * A row of another version was written by this same end, its reply lost, or by a later holder.
   */
  private static boolean isSettledByOther(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return cause instanceof TableServiceException known
        && known.kind() == TableServiceException.Kind.CONDITION_FAILED;
  }
}
