package org.lockdale.gateway.cluster;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.table.TableServiceException;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.limit.KeptLevelsReading;
import org.lockdale.gateway.limit.LevelKeeper;
import org.lockdale.gateway.table.StoreClock;
import org.tinylog.Logger;

/**
 * Keeps the levels of tenants' limits in the shared store while this node is the limit relay, and
 * claims those that an earlier one has stored. Runs on one event loop.
 */
public final class LevelRecorder {

  /** Interval at which the keeper is asked; a new limit relay claims within this time. */
  private static final long TICK_MILLIS = 100;

  /**
   * Dependencies of a recorder.
   *
   * @param keeper decides what is to be done
   * @param table table with the row
   * @param limitRelay whether this node serves as the limit relay and knows limits of tenants
   * @param clock the store's clock
   * @param eventLoop runs the recorder
   * @param time clock
   */
  public record Context(
      LevelKeeper keeper,
      ClusterTable table,
      BooleanSupplier limitRelay,
      StoreClock clock,
      EventLoop eventLoop,
      Time time) {}

  private final Context context;
  private boolean failing;

  /** Creates a recorder; {@link #start} starts it. */
  public LevelRecorder(Context context) {
    this.context = context;
  }

  /** Starts the recorder. */
  public void start() {
    context
        .eventLoop()
        .scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Does what is due; called periodically and after each call to the store. */
  void tick() {
    long now = context.time().monotonicMillis();
    LevelKeeper.Action action =
        context
            .keeper()
            .next(context.limitRelay().getAsBoolean(), now, context.clock().storeMillis(now));
    if (action instanceof LevelKeeper.Action.Read) {
      context.table().readLevels().whenCompleteAsync(this::onRead, context.eventLoop());
    } else if (action instanceof LevelKeeper.Action.Write write) {
      context
          .table()
          .writeLevels(write.row(), write.expectedVersion())
          .whenCompleteAsync(this::onWritten, context.eventLoop());
    }
  }

  private void onRead(@Nullable KeptLevelsReading reading, @Nullable Throwable failure) {
    if (reading == null) {
      onFailed(failure);
      return;
    }
    boolean wasOwner = context.keeper().isOwner();
    context.keeper().onRead(reading, context.time().monotonicMillis());
    boolean isOwner = context.keeper().isOwner();
    if (wasOwner && !isOwner) {
      Logger.info("event=limits-superseded version={}", reading.version());
    } else if (isOwner && !wasOwner) {
      Logger.info("event=limits-claimed tenants={} answer=lost", context.keeper().claimedTenants());
    }
    tick();
  }

  private void onWritten(@Nullable KeptLevelsReading written, @Nullable Throwable failure) {
    if (written == null) {
      onFailed(failure);
      return;
    }
    failing = false;
    if (context.keeper().onWritten(written.version(), context.time().monotonicMillis())) {
      Logger.info(
          "event=limits-claimed tenants={} answer=received", context.keeper().claimedTenants());
    }
  }

  private void onFailed(@Nullable Throwable failure) {
    if (!failing) {
      failing = true;
      Logger.info(
          "event=limits-not-kept cause=\"{}\"", failure == null ? "" : failure.getMessage());
    }
    context.keeper().onFailed(kindOf(failure), context.time().monotonicMillis());
  }

  private static LevelKeeper.Failure kindOf(@Nullable Throwable failure) {
    if (failure != null && Failures.causeOf(failure) instanceof TableServiceException known) {
      return switch (known.kind()) {
        case CONDITION_FAILED -> LevelKeeper.Failure.SUPERSEDED;
        case RATE_LIMITED, UNREACHABLE -> LevelKeeper.Failure.NOT_WRITTEN;
        case HISTORY_LOST, OUTCOME_UNKNOWN -> LevelKeeper.Failure.UNKNOWN;
      };
    }
    return LevelKeeper.Failure.UNKNOWN;
  }
}
