package org.lockdale.gateway.weights;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * Decides which versions of weights may serve a request and which engines have to move. Performs no
 * I/O.
 *
 * @param boundMillis longest time after a version was set as the target for which older ones may
 *     serve, in milliseconds
 */
public record WeightsPolicy(long boundMillis) {

  /**
   * Time before the bound, in milliseconds, from which requests are no longer sent to engines with
   * older weights, and those still waiting there are withdrawn.
   */
  private static final long QUEUE_MARGIN_MILLIS = 700;

  /**
   * Age of a target version, in milliseconds, from which engines that hold it are preferred.
   * Responses that start on older weights more than 1.5 s after the version was set are worth less.
   * The difference allows for the time between the placement of a request, which may have to wait,
   * and the start of its response.
   */
  private static final long DUE_MILLIS = 1_300;

  /**
   * Time, in milliseconds, that a group of engines that move at once takes from the order until it
   * holds the new weights.
   */
  private static final long LOAD_MILLIS = 1_900;

  /**
   * Time in milliseconds for which a new target version must remain unchanged before engines load
   * it, since a version replaced sooner is not worth loading.
   */
  private static final long SETTLE_MILLIS = 600;

  /** Time to acquire the lease, in milliseconds. */
  private static final long LEASE_ACQUISITION_MILLIS = 400;

  /**
   * Move of an engine that does not hold the newest weights of a model.
   *
   * @param engine the engine
   * @param model name of the model
   * @param version version to load
   */
  public record Move(TrackedBackend engine, String model, long version) {}

  /** Returns the oldest version that may serve a model now, or null where any may. */
  public @Nullable Long requiredVersion(TargetWeights weights, String model, long nowMillis) {
    OptionalLong required =
        weights.newestOfMinAge(model, boundMillis - QUEUE_MARGIN_MILLIS, nowMillis);
    return required.isPresent() ? required.getAsLong() : null;
  }

  /**
   * Returns the newest version that responses should be based on by now, or null where there is
   * none.
   */
  public @Nullable Long dueVersion(TargetWeights weights, String model, long nowMillis) {
    OptionalLong due = weights.newestOfMinAge(model, DUE_MILLIS, nowMillis);
    return due.isPresent() ? due.getAsLong() : null;
  }

  private static long heldBy(Move move) {
    Long held = move.engine().weightsOf(move.model());
    return held == null ? Long.MIN_VALUE : held;
  }

  /**
   * Returns the moves of the engines that do not hold the newest weights. Engines with the oldest
   * weights come first, and among them the least loaded.
   */
  public static List<Move> moves(TargetWeights weights, BackendTable backends) {
    List<Move> moves = new ArrayList<>();
    for (TrackedBackend engine : backends.all()) {
      for (String model : engine.backend().weights().keySet()) {
        OptionalLong newest = weights.newest(model);
        Long held = engine.weightsOf(model);
        boolean isOutdated = newest.isPresent() && held != null && held < newest.getAsLong();
        if (isOutdated && engine.isServing()) {
          moves.add(new Move(engine, model, newest.getAsLong()));
        }
      }
    }
    moves.sort(
        Comparator.comparingLong((Move move) -> heldBy(move))
            .thenComparingInt(move -> move.engine().load().openRequests()));
    return moves;
  }

  /**
   * Returns the monotonic time, in milliseconds, at which the moves start. They start early, since
   * responses based on older weights are worth less, but not while target versions follow each
   * other in quick succession, unless the bound requires it.
   *
   * @param weights target versions
   * @param moves moves to make, at least one
   * @param parallel number of moves made at once, at least 1
   */
  public long plannedStart(TargetWeights weights, List<Move> moves, int parallel) {
    long newest = Long.MIN_VALUE / 2;
    for (Move move : moves) {
      for (TargetVersion target : weights.versionsOf(move.model())) {
        newest = Math.max(newest, target.notBeforeMillis());
      }
    }
    return Math.min(newest + SETTLE_MILLIS, latestStart(weights, moves, parallel));
  }

  /**
   * Returns the latest monotonic time, in milliseconds, at which the moves must start for all
   * engines to hold the required version within the bound.
   *
   * @param weights target versions
   * @param moves moves to make, at least one
   * @param parallel number of moves made at once, at least 1
   */
  public long latestStart(TargetWeights weights, List<Move> moves, int parallel) {
    long earliest = Long.MAX_VALUE;
    for (Move move : moves) {
      Long held = move.engine().weightsOf(move.model());
      for (TargetVersion target : weights.versionsOf(move.model())) {
        if (held == null || target.version() > held) {
          earliest = Math.min(earliest, target.notBeforeMillis());
        }
      }
    }
    long rounds = (moves.size() + parallel - 1) / parallel;
    return earliest
        + boundMillis
        - QUEUE_MARGIN_MILLIS
        - LEASE_ACQUISITION_MILLIS
        - rounds * LOAD_MILLIS;
  }
}
