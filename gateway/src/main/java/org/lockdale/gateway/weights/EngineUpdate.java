package org.lockdale.gateway.weights;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.lease.Lease;
import org.tinylog.Logger;

/**
 * Moves one engine to a version of weights: queries its state, gives the order, and queries again
 * until the engine holds the version. An order without a response may still be carried out, so it
 * is never simply repeated: the next order includes the number of orders that the engine has
 * received, so that at most one of them takes effect. Runs on one event loop.
 */
final class EngineUpdate {

  private static final long FIRST_CHECK_MILLIS = 650;
  private static final long CHECK_MILLIS = 250;

  /** Time for the announcement that an engine moves to reach the other nodes, in milliseconds. */
  private static final long PROPAGATION_MILLIS = 40;

  /**
   * Interval, in milliseconds, at which the announcement of an engine that still moves is repeated:
   * a quarter of the time for which it is valid. An engine that first completes its running
   * requests takes up to 7.5 s for an order. If the announcement expired sooner, the engine would
   * look idle and attract requests, each of which it would reject.
   */
  private static final long RENEWAL_MILLIS = RolloutProgress.ANNOUNCEMENT_TTL_MILLIS / 4;

  /**
   * Longest time, in milliseconds, for which an order waits until the engine has processed the
   * prompts that wait there. When the order arrives, the engine rejects the requests whose response
   * has not started. Within this limit an engine processes 23,000 tokens, at 38 tokens a
   * millisecond.
   */
  private static final long MAX_PREFILL_WAIT_MILLIS = 600;

  private static final long PREFILL_CHECK_MILLIS = 20;

  private static final long TIMEOUT_MILLIS = 6_000;

  private final EventLoop eventLoop;
  private final RolloutDependencies dependencies;
  private final WeightsPolicy.Move move;
  private final Lease lease;
  private final BooleanSupplier mayOrder;
  private final String nodeId;
  private final LongSupplier nowMillis;
  private final long startedAtMillis;
  private boolean announced;
  private long announcedAtMillis;
  private final CompletableFuture<Boolean> done = new CompletableFuture<>();

  EngineUpdate(
      EventLoop eventLoop,
      RolloutDependencies dependencies,
      WeightsPolicy.Move move,
      Lease lease,
      BooleanSupplier mayOrder,
      String nodeId,
      LongSupplier nowMillis) {
    this.eventLoop = eventLoop;
    this.dependencies = dependencies;
    this.move = move;
    this.lease = lease;
    this.mayOrder = mayOrder;
    this.nodeId = nodeId;
    this.nowMillis = nowMillis;
    this.startedAtMillis = nowMillis.getAsLong();
  }

  /**
   * Starts the update.
   *
   * @return completes with whether the engine holds the version; never completes exceptionally
   */
  CompletableFuture<Boolean> start() {
    check();
    return done;
  }

  private void check() {
    if (nowMillis.getAsLong() - startedAtMillis > TIMEOUT_MILLIS) {
      done.complete(false);
      return;
    }
    dependencies
        .control()
        .state(move.engine().backend())
        .whenCompleteAsync(
            (state, failure) -> {
              if (failure != null) {
                stateFailed(Failures.causeOf(failure));
              } else if (state.isOf(move.engine().backend())) {
                decide(state);
              } else {
                replaced();
              }
            },
            eventLoop);
  }

  private void stateFailed(Throwable cause) {
    if (cause instanceof ReplacedEngineException) {
      replaced();
      return;
    }
    Logger.info(
        "event=engine-state-failed backend={} cause={}",
        move.engine().backend().id(),
        cause.getMessage());
    done.complete(false);
  }

  /**
   * Handles another incarnation at the address of the engine. No order is given to it: orders are
   * counted from the start of the engine, so the expected count of the former incarnation could
   * match by chance.
   */
  private void replaced() {
    dependencies.onReplaced().accept(move.engine());
    done.complete(false);
  }

  private void decide(EngineState state) {
    state.weights().forEach(move.engine()::observeWeights);
    if (state.weights().getOrDefault(move.model(), 0L) >= move.version()) {
      succeed();
    } else if (state.busy()) {
      renewAnnouncement();
      checkAfter(CHECK_MILLIS);
    } else {
      announceThenOrder(state);
    }
  }

  /**
   * Announces the move before giving the order, so that requests that the other nodes send in the
   * meantime are not rejected.
   */
  private void announceThenOrder(EngineState state) {
    if (announced) {
      order(state);
      return;
    }
    announce();
    long deadlineMillis = nowMillis.getAsLong() + PROPAGATION_MILLIS + MAX_PREFILL_WAIT_MILLIS;
    schedulePrefillCheck(PROPAGATION_MILLIS, deadlineMillis, state);
  }

  private void schedulePrefillCheck(long millis, long deadlineMillis, EngineState state) {
    eventLoop.schedule(
        () -> orderAfterPrefill(deadlineMillis, state), millis, TimeUnit.MILLISECONDS);
  }

  private void orderAfterPrefill(long deadlineMillis, EngineState state) {
    boolean prefilling = dependencies.waitingTokens().applyAsLong(move.engine()) > 0;
    if (prefilling && nowMillis.getAsLong() < deadlineMillis) {
      schedulePrefillCheck(PREFILL_CHECK_MILLIS, deadlineMillis, state);
    } else {
      order(state);
    }
  }

  private void announce() {
    announced = true;
    announcedAtMillis = nowMillis.getAsLong();
    dependencies.announcer().accept(announcement(true));
  }

  /**
   * Repeats the announcement when it is due. It is also made for an engine found to be carrying out
   * an order of an earlier update.
   */
  private void renewAnnouncement() {
    if (!announced || nowMillis.getAsLong() - announcedAtMillis >= RENEWAL_MILLIS) {
      announce();
    }
  }

  private void succeed() {
    Logger.info(
        "event=weights-held backend={} version={} millis={}",
        move.engine().backend().id(),
        move.version(),
        nowMillis.getAsLong() - startedAtMillis);
    if (announced) {
      dependencies.announcer().accept(announcement(false));
    }
    done.complete(true);
  }

  private EngineMove announcement(boolean moving) {
    return new EngineMove(move.engine().backend().id(), move.model(), move.version(), moving);
  }

  private void order(EngineState state) {
    if (!mayOrder.getAsBoolean() || !lease.mayAct(nowMillis.getAsLong())) {
      done.complete(false);
      return;
    }
    LoadOrder order =
        new LoadOrder(
            move.model(), move.version(), nodeId, lease.fencingToken(), state.orderCount());
    dependencies
        .control()
        .load(move.engine().backend(), order)
        .whenCompleteAsync((outcome, unusedFailure) -> ordered(outcome), eventLoop);
  }

  private void ordered(OrderOutcome outcome) {
    Logger.info(
        "event=weights-ordered backend={} model={} version={} outcome={}",
        move.engine().backend().id(),
        move.model(),
        move.version(),
        outcome);
    switch (outcome) {
      case ACCEPTED -> checkAfter(FIRST_CHECK_MILLIS);
      // The response carries no id and may be the one to another call, so the state decides.
      case ALREADY_HELD, CONFLICT, UNKNOWN -> checkAfter(CHECK_MILLIS);
      case FENCED -> {
        lease.relinquish();
        done.complete(false);
      }
      default -> done.complete(false);
    }
  }

  private void checkAfter(long millis) {
    eventLoop.schedule(this::check, millis, TimeUnit.MILLISECONDS);
  }
}
