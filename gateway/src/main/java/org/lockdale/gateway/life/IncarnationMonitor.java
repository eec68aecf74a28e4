package org.lockdale.gateway.life;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.concurrent.Failures;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.weights.EngineControl;
import org.lockdale.gateway.weights.EngineState;
import org.lockdale.gateway.weights.ReplacedEngineException;
import org.tinylog.Logger;

/**
 * Detects from responses that an incarnation of a backend has ended, and notifies all nodes. The
 * record of a crashed backend exists for seconds; if its address is in use again in that time, each
 * request sent there costs a round trip and is rejected.
 *
 * <p>If a request that required only the instance is rejected as meant for another server, this
 * proves that the incarnation has ended. If the request also required a version of weights, that
 * may be the reason for the rejection, so the engine is queried for its state, which contains its
 * start time and its weights. Runs on one event loop; rejections may be reported from any thread.
 */
public final class IncarnationMonitor {

  /**
   * Minimum time in milliseconds between two queries of an engine. Its state is some hundred
   * milliseconds old, so an earlier query would return nothing new; each query costs as much as a
   * probe.
   */
  private static final long QUERY_INTERVAL_MILLIS = 500;

  /**
   * Maximum number of engines whose last query is remembered; a wave of crashes affects about
   * twenty at once.
   */
  private static final int MAX_REMEMBERED_QUERIES = 256;

  private final ScheduledExecutorService eventLoop;
  private final EngineControl engines;
  private final Supplier<BackendTable> backends;
  private final Consumer<String> notifyOthers;
  private final Time time;
  private final Map<String, Long> queriedAtMillis = new HashMap<>();

  /**
   * Creates a monitor.
   *
   * @param eventLoop runs it
   * @param engines queries engines for their state
   * @param backends backends that have a record
   * @param notifyOthers notifies all other nodes that an incarnation has ended, by its text form
   * @param time clock
   */
  public IncarnationMonitor(
      ScheduledExecutorService eventLoop,
      EngineControl engines,
      Supplier<BackendTable> backends,
      Consumer<String> notifyOthers,
      Time time) {
    this.eventLoop = eventLoop;
    this.engines = engines;
    this.backends = backends;
    this.notifyOthers = notifyOthers;
    this.time = time;
  }

  /**
   * Reports that a request was rejected as not meant for the server that received it; from any
   * thread.
   *
   * @param target backend that the request was meant for
   * @param model model of the request, or null if it has none
   * @param weights version of weights that was also required, or null if only the instance was
   */
  public void misdirected(TrackedBackend target, @Nullable String model, @Nullable Long weights) {
    eventLoop.execute(
        () -> {
          if (model == null || weights == null) {
            markEnded(target, "misdirected");
          } else {
            queryState(target, model);
          }
        });
  }

  /**
   * Reports that another incarnation responds in place of a backend; to be called on the event
   * loop.
   */
  public void replaced(TrackedBackend target) {
    markEnded(target, "replaced");
  }

  private void queryState(TrackedBackend target, String model) {
    long now = time.monotonicMillis();
    String id = target.backend().id();
    Long before = queriedAtMillis.get(id);
    if (target.hasEnded() || before != null && now - before < QUERY_INTERVAL_MILLIS) {
      return;
    }
    if (queriedAtMillis.size() >= MAX_REMEMBERED_QUERIES) {
      queriedAtMillis.values().removeIf(at -> now - at >= QUERY_INTERVAL_MILLIS);
    }
    queriedAtMillis.put(id, now);
    engines
        .state(target.backend())
        .whenCompleteAsync(
            (state, failure) -> handleState(target, model, state, failure), eventLoop);
  }

  private void handleState(
      TrackedBackend target,
      String model,
      @Nullable EngineState state,
      @Nullable Throwable failure) {
    if (failure != null && Failures.causeOf(failure) instanceof ReplacedEngineException) {
      markEnded(target, "replaced");
    } else if (state != null && !state.isOf(target.backend())) {
      markEnded(target, "another-start");
    } else if (state != null && state.weights().containsKey(model)) {
      target.correctWeights(model, state.weights().get(model));
    }
  }

  private void markEnded(TrackedBackend target, String evidence) {
    if (target.markEnded()) {
      String id = target.backend().id();
      Logger.info("event=life-over backend={} evidence={}", id, evidence);
      notifyOthers.accept(id);
    }
  }

  /**
   * Processes incarnations that another node reports to have ended, by their text forms; to be
   * called on the event loop.
   */
  public void receive(List<String> incarnations) {
    BackendTable table = backends.get();
    for (String incarnation : incarnations) {
      // An id without a start time means whichever incarnation is present, so it proves nothing
      // about this one.
      TrackedBackend tracked = table.find(incarnation);
      if (tracked != null && tracked.markEnded()) {
        Logger.info("event=life-over backend={} evidence=told", incarnation);
      }
    }
  }
}
