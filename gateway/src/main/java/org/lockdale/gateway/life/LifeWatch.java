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
 * Finds out from answers that a life of a back end is over, and lets all nodes know. The record of
 * a back end that crashed stands for seconds; while its address is in use again, each request sent
 * there costs a round trip and is turned away.
 *
 * <p>That a request was not meant for whoever answered is proof where only the instance was asked
 * for. Where weights were asked for as well, they may be the reason, so the engine is asked for its
 * state, which tells its start and its weights. Runs on one event loop; answers may be told from
 * any thread.
 */
public final class LifeWatch {

  /**
   * An engine's state is as it stood some hundred milliseconds ago, so to ask again sooner tells
   * nothing new; each question is priced as a probe.
   */
  private static final long ASK_AGAIN_MILLIS = 500;

  /** Engines whose last question is remembered; a wave of crashes takes some twenty at once. */
  private static final int MAX_ASKED = 256;

  private final ScheduledExecutorService eventLoop;
  private final EngineControl engines;
  private final Supplier<BackendTable> backends;
  private final Consumer<String> tellOthers;
  private final Time time;
  private final Map<String, Long> askedAtMillis = new HashMap<>();

  /**
   * Creates a watch.
   *
   * @param eventLoop runs it
   * @param engines asks engines for their state
   * @param backends back ends on record
   * @param tellOthers tells all other nodes that a life is over, by its text form
   * @param time clock
   */
  public LifeWatch(
      ScheduledExecutorService eventLoop,
      EngineControl engines,
      Supplier<BackendTable> backends,
      Consumer<String> tellOthers,
      Time time) {
    this.eventLoop = eventLoop;
    this.engines = engines;
    this.backends = backends;
    this.tellOthers = tellOthers;
    this.time = time;
  }

  /**
   * Takes in that a request was turned away as not meant for who answered; from any thread.
   *
   * @param target back end that was meant
   * @param weights weights that were asked for as well, or null where only the instance was
   * @param model model of the request, or null for none
   */
  public void misdirected(TrackedBackend target, @Nullable String model, @Nullable Long weights) {
    eventLoop.execute(
        () -> {
          if (model == null || weights == null) {
            over(target, "misdirected");
          } else {
            ask(target, model);
          }
        });
  }

  /** Takes in that another life answers in place of a back end; on the event loop. */
  public void replaced(TrackedBackend target) {
    over(target, "replaced");
  }

  private void ask(TrackedBackend target, String model) {
    long now = time.monotonicMillis();
    String id = target.backend().id();
    Long before = askedAtMillis.get(id);
    if (target.isOver() || before != null && now - before < ASK_AGAIN_MILLIS) {
      return;
    }
    if (askedAtMillis.size() >= MAX_ASKED) {
      askedAtMillis.values().removeIf(at -> now - at >= ASK_AGAIN_MILLIS);
    }
    askedAtMillis.put(id, now);
    engines
        .state(target.backend())
        .whenCompleteAsync((state, failure) -> told(target, model, state, failure), eventLoop);
  }

  private void told(
      TrackedBackend target,
      String model,
      @Nullable EngineState state,
      @Nullable Throwable failure) {
    if (failure != null && Failures.causeOf(failure) instanceof ReplacedEngineException) {
      over(target, "replaced");
    } else if (state != null && !state.isOf(target.backend())) {
      over(target, "another-start");
    } else if (state != null && state.weights().containsKey(model)) {
      target.correctWeights(model, state.weights().get(model));
    }
  }

  private void over(TrackedBackend target, String evidence) {
    if (target.end()) {
      String id = target.backend().id();
      Logger.info("event=life-over backend={} evidence={}", id, evidence);
      tellOthers.accept(id);
    }
  }

  /** Takes in what another node found out; on the event loop. */
  public void told(List<String> lives) {
    BackendTable table = backends.get();
    for (String life : lives) {
      // Names without a start mean whichever life is present, so they prove nothing of this one.
      TrackedBackend tracked = table.find(life);
      if (tracked != null && tracked.end()) {
        Logger.info("event=life-over backend={} evidence=told", life);
      }
    }
  }
}
