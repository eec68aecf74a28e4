package org.lockdale.gateway.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.TrackedBackend;

/**
 * What this node observes of its open attempts at engines. Times are of the steady clock, so that a
 * suspension of the machine does not count as silence of an engine. Thread-safe.
 */
public final class EngineObservations {

  static final long NEVER = Long.MIN_VALUE / 2;

  /** Maximum number of timings that wait to be reported; further ones are dropped. */
  private static final int MAX_TIMINGS = 256;

  /** An engine without open attempts is forgotten when nothing was received for this long. */
  private static final long FORGET_MILLIS = 2_000;

  /** Attempts at one engine. */
  static final class Engine {
    private final String id;
    private final Set<ObservedAttempt> open = ConcurrentHashMap.newKeySet();
    private final AtomicLong heardAtMillis = new AtomicLong(NEVER);

    Engine(String id) {
      this.id = id;
    }

    String id() {
      return id;
    }

    void remove(ObservedAttempt attempt) {
      open.remove(attempt);
    }
  }

  private final boolean enabled;
  private final Time time;
  private final Map<String, Engine> engines = new ConcurrentHashMap<>();
  private final Queue<AttemptTiming> timings = new ConcurrentLinkedQueue<>();
  private final AtomicInteger timingCount = new AtomicInteger();
  private final Map<String, Long> silentSince = new HashMap<>();
  private final AtomicLong heardAnyAtMillis = new AtomicLong(NEVER);

  /**
   * Creates an instance without observations.
   *
   * @param enabled whether anything is kept
   * @param time clock
   */
  public EngineObservations(boolean enabled, Time time) {
    this.enabled = enabled;
    this.time = time;
  }

  /** Records that an attempt is sent now. */
  public ObservedAttempt open(TrackedBackend target, AttemptLoad load) {
    String id = target.backend().id();
    if (!enabled) {
      return new ObservedAttempt(this, new Engine(id), load, nowMillis());
    }
    // Added within the computation, so that the engine is not forgotten between the two steps.
    List<ObservedAttempt> opened = new ArrayList<>(1);
    engines.compute(
        id,
        (key, known) -> {
          Engine engine = known == null ? new Engine(key) : known;
          ObservedAttempt attempt = new ObservedAttempt(this, engine, load, nowMillis());
          engine.open.add(attempt);
          opened.add(attempt);
          return engine;
        });
    return opened.get(0);
  }

  long nowMillis() {
    return time.steadyMillis();
  }

  void recordHeard(Engine engine) {
    if (enabled) {
      long now = nowMillis();
      engine.heardAtMillis.set(now);
      heardAnyAtMillis.set(now);
    }
  }

  void addTiming(AttemptTiming timing) {
    if (enabled && timingCount.get() < MAX_TIMINGS) {
      timingCount.incrementAndGet();
      timings.add(timing);
    }
  }

  /** Returns the timings since the last call. */
  public List<AttemptTiming> takeTimings() {
    List<AttemptTiming> taken = new ArrayList<>();
    for (AttemptTiming next = timings.poll(); next != null; next = timings.poll()) {
      timingCount.decrementAndGet();
      taken.add(next);
    }
    return taken;
  }

  /** Returns the present use of each engine that has open attempts or was heard recently. */
  public List<EngineUse> uses() {
    long now = nowMillis();
    List<EngineUse> uses = new ArrayList<>();
    for (String id : engines.keySet()) {
      Engine engine =
          engines.computeIfPresent(
              id,
              (key, known) ->
                  known.open.isEmpty() && now - known.heardAtMillis.get() > FORGET_MILLIS
                      ? null
                      : known);
      uses.add(engine == null ? new EngineUse(id, 0, 0, EngineUse.UNKNOWN, -1) : use(engine, now));
    }
    return uses;
  }

  private EngineUse use(Engine engine, long now) {
    long reserved = 0;
    int open = 0;
    boolean anyUnpaused = false;
    long oldestWaitingAt = Long.MAX_VALUE;
    for (ObservedAttempt attempt : engine.open) {
      reserved += attempt.load().reservedTokens();
      open++;
      if (!attempt.isPaused()) {
        anyUnpaused = true;
        if (!attempt.hasResponded()) {
          oldestWaitingAt = Math.min(oldestWaitingAt, attempt.sentAtMillis());
        }
      }
    }
    long heardAt = engine.heardAtMillis.get();
    long heard = heardAt == NEVER ? EngineUse.UNKNOWN : Math.max(0, now - heardAt);
    long waiting =
        oldestWaitingAt == Long.MAX_VALUE ? EngineUse.UNKNOWN : Math.max(0, now - oldestWaitingAt);
    EngineUse use = new EngineUse(engine.id(), reserved, open, heard, waiting);
    boolean tellsNothing = open > 0 && !anyUnpaused || isCutOff(use.quietMillis(), now);
    return tellsNothing
        ? new EngineUse(engine.id(), reserved, open, EngineUse.UNKNOWN, EngineUse.UNKNOWN)
        : use;
  }

  /**
   * Returns whether this node has received nothing from any backend in the later half of a quiet
   * time, so that the cause may be this node: it was stalled or cut off.
   */
  private boolean isCutOff(long quietMillis, long now) {
    return quietMillis >= ObservationSchedule.QUIET_MILLIS
        && now - heardAnyAtMillis.get() > quietMillis / 2;
  }

  /**
   * Notifies the open attempts at silent engines; to be called periodically, on one event loop.
   * Attempts that were sent to an engine known to be silent find out whether it responds, so they
   * are notified only once they have waited for the shortest silence.
   *
   * @param silent text forms of the incarnations of all silent engines
   */
  public void notifySilent(Set<String> silent) {
    long now = nowMillis();
    silentSince.keySet().retainAll(silent);
    for (String id : silent) {
      long since = silentSince.computeIfAbsent(id, key -> now);
      Engine engine = engines.get(id);
      if (engine == null || now - engine.heardAtMillis.get() < ObservationSchedule.QUIET_MILLIS) {
        continue;
      }
      for (ObservedAttempt attempt : engine.open) {
        long sent = attempt.sentAtMillis();
        if (sent <= since || now - sent >= SilenceDetector.MIN_SILENCE_MILLIS) {
          attempt.runOnSilent();
        }
      }
    }
  }
}
