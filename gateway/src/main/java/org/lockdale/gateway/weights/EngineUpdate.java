package org.lockdale.gateway.weights;

import io.netty.channel.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.lease.Lease;
import org.tinylog.Logger;

/**
 * Moves one engine to a version of weights: asks for its state, gives the order, and asks again
 * until the engine holds the version. An order without an answer is never repeated blindly, since
 * it may still be carried out: the next one names the number of orders that the engine has taken,
 * so that at most one of them takes effect. Runs on one event loop.
 */
final class EngineUpdate {

  private static final long FIRST_CHECK_MILLIS = 650;
  private static final long CHECK_MILLIS = 250;

  /** Time for the other nodes to hear that an engine moves. */
  private static final long NOTICE_MILLIS = 40;

  /**
   * How often the other nodes are told again of an engine that is still on its way, a quarter of
   * the time for which they believe it. An engine that first ends its runs takes up to 7.5 s for an
   * order: believed to be back sooner, it looks idle and draws requests, each turned away.
   */
  private static final long RENEWAL_MILLIS = RolloutProgress.BELIEF_MILLIS / 4;

  /**
   * Longest time for which an order waits for prompts that the engine reads, since it turns away
   * what has not begun. An engine reads 23,000 tokens in it at 38 tokens a millisecond.
   */
  private static final long MAX_READING_MILLIS = 600;

  private static final long READING_CHECK_MILLIS = 20;

  private static final long GIVE_UP_MILLIS = 6_000;

  private final EventLoop eventLoop;
  private final RolloutTools tools;
  private final WeightsPolicy.Move move;
  private final Lease lease;
  private final String nodeId;
  private final LongSupplier nowMillis;
  private final long startedAtMillis;
  private boolean announced;
  private long announcedAtMillis;
  private final CompletableFuture<Boolean> done = new CompletableFuture<>();

  EngineUpdate(
      EventLoop eventLoop,
      RolloutTools tools,
      WeightsPolicy.Move move,
      Lease lease,
      String nodeId,
      LongSupplier nowMillis) {
    this.eventLoop = eventLoop;
    this.tools = tools;
    this.move = move;
    this.lease = lease;
    this.nodeId = nodeId;
    this.nowMillis = nowMillis;
    this.startedAtMillis = nowMillis.getAsLong();
  }

  /** Starts the update; the future tells whether the engine holds the version. */
  CompletableFuture<Boolean> start() {
    check();
    return done;
  }

  private void check() {
    if (nowMillis.getAsLong() - startedAtMillis > GIVE_UP_MILLIS) {
      done.complete(false);
      return;
    }
    tools
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

  /** Orders are counted from a start on, so one that was meant for a former life could fit. */
  private void replaced() {
    tools.onReplaced().accept(move.engine());
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

  /** The other nodes are told first, so that what they send meanwhile is not turned away. */
  private void announceThenOrder(EngineState state) {
    if (announced) {
      order(state);
      return;
    }
    announce();
    long latest = nowMillis.getAsLong() + NOTICE_MILLIS + MAX_READING_MILLIS;
    orderWhenReadAfter(NOTICE_MILLIS, latest, state);
  }

  private void orderWhenReadAfter(long millis, long latestMillis, EngineState state) {
    eventLoop.schedule(() -> orderWhenRead(latestMillis, state), millis, TimeUnit.MILLISECONDS);
  }

  private void orderWhenRead(long latestMillis, EngineState state) {
    boolean reading = tools.waitingTokens().applyAsLong(move.engine()) > 0;
    if (reading && nowMillis.getAsLong() < latestMillis) {
      orderWhenReadAfter(READING_CHECK_MILLIS, latestMillis, state);
    } else {
      order(state);
    }
  }

  private void announce() {
    announced = true;
    announcedAtMillis = nowMillis.getAsLong();
    tools.announcer().accept(moveRow(true));
  }

  /** Also tells of an engine that was found to carry out an order of an earlier update. */
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
      tools.announcer().accept(moveRow(false));
    }
    done.complete(true);
  }

  private EngineMove moveRow(boolean moving) {
    return new EngineMove(move.engine().backend().id(), move.model(), move.version(), moving);
  }

  private void order(EngineState state) {
    if (!lease.mayAct(nowMillis.getAsLong())) {
      done.complete(false);
      return;
    }
    LoadOrder order =
        new LoadOrder(move.model(), move.version(), nodeId, lease.fence(), state.orderCount());
    tools
        .control()
        .load(move.engine().backend(), order)
        .whenCompleteAsync((outcome, impossible) -> ordered(outcome), eventLoop);
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
      case ALREADY_HELD -> {
        move.engine().observeWeights(move.model(), move.version());
        succeed();
      }
      case CONFLICT, UNKNOWN -> checkAfter(CHECK_MILLIS);
      case FENCED -> {
        lease.lost();
        done.complete(false);
      }
      default -> done.complete(false);
    }
  }

  private void checkAfter(long millis) {
    eventLoop.schedule(this::check, millis, TimeUnit.MILLISECONDS);
  }
}
