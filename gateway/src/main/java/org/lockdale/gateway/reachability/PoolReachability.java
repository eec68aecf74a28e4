package org.lockdale.gateway.reachability;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.http.Reachability;
import org.tinylog.Logger;

/**
 * Detects that this node can't reach the backends of a pool. A pool counts as unreachable once
 * connections to several of its backends have failed in a row, and until one of its backends is
 * reached again. It is silent if requests were sent and nothing has been received from any of its
 * backends since; open connections may be lost then, which only new ones show. Whether the links of
 * this node are cut or the backends have crashed is not known here; only other nodes can tell. A
 * state machine without I/O; thread-safe.
 */
public final class PoolReachability {

  /** Number of backends of a pool that must fail in a row; all of them if there are fewer. */
  static final int MIN_FAILED_BACKENDS = 3;

  /** Several times the usual time to the first byte of some response. */
  private static final long MAX_SILENCE_MILLIS = 800;

  private static final long NEVER = Long.MAX_VALUE;

  /** What has happened since a backend of the pool was reached last. */
  private static final class Pool {
    final Set<String> failed = new HashSet<>();
    volatile boolean unreachable;
    volatile long sentAtMillis = NEVER;
    volatile boolean anyFailed;
    long unreachableSinceMillis;
  }

  private final ToIntFunction<String> backendCount;
  private final Consumer<String> onUnreachable;
  private final Time time;
  private final Map<String, Pool> pools = new ConcurrentHashMap<>();

  /**
   * Creates a detector that takes all pools for reachable.
   *
   * @param backendCount returns the number of backends of a pool that accept requests
   * @param onUnreachable called with a pool that has become unreachable, on any thread
   * @param time clock
   */
  public PoolReachability(
      ToIntFunction<String> backendCount, Consumer<String> onUnreachable, Time time) {
    this.backendCount = backendCount;
    this.onUnreachable = onUnreachable;
    this.time = time;
  }

  private Pool pool(String name) {
    Pool known = pools.get(name);
    return known == null ? pools.computeIfAbsent(name, added -> new Pool()) : known;
  }

  /** Records that a request was sent to a backend of a pool. */
  public void recordSent(String poolName) {
    Pool pool = pool(poolName);
    if (pool.sentAtMillis == NEVER) {
      pool.sentAtMillis = time.steadyMillis();
    }
  }

  /** Records that a backend of a pool has sent something or accepted a connection. */
  public void recordReached(String poolName) {
    Pool pool = pool(poolName);
    pool.sentAtMillis = NEVER;
    if (!pool.anyFailed) {
      return;
    }
    synchronized (pool) {
      pool.failed.clear();
      pool.anyFailed = false;
      if (pool.unreachable) {
        pool.unreachable = false;
        Logger.info(
            "event=pool-reached pool={} unreachable-ms={}",
            poolName,
            time.steadyMillis() - pool.unreachableSinceMillis);
      }
    }
  }

  /** Records that no connection to a backend could be established. */
  public void recordFailure(String poolName, String backend) {
    if (addFailure(poolName, backend)) {
      onUnreachable.accept(poolName);
    }
  }

  /**
   * Records the result of a probe of a backend. A connection that is closed at once shows neither:
   * a backend at its connection limit does so, and so does a proxy of a crashed one.
   */
  void recordProbe(Backend backend, Reachability reachability) {
    if (reachability == Reachability.ACCEPTS) {
      recordReached(backend.pool());
    } else if (reachability != Reachability.CLOSES) {
      recordFailure(backend.pool(), backend.id());
    }
  }

  /** Returns whether the pool has become unreachable by a failure. */
  private boolean addFailure(String poolName, String backend) {
    Pool pool = pool(poolName);
    synchronized (pool) {
      pool.failed.add(backend);
      pool.anyFailed = true;
      int required = Math.min(MIN_FAILED_BACKENDS, backendCount.applyAsInt(poolName));
      if (pool.unreachable || required == 0 || pool.failed.size() < required) {
        return false;
      }
      pool.unreachable = true;
      pool.unreachableSinceMillis = time.steadyMillis();
      Logger.info("event=pool-unreachable pool={} failed={}", poolName, pool.failed.size());
      return true;
    }
  }

  /** Returns whether this node can't connect to the backends of a pool, as far as it knows. */
  public boolean isUnreachable(String poolName) {
    Pool pool = pools.get(poolName);
    return pool != null && pool.unreachable;
  }

  /** Returns the names of the pools that are unreachable. */
  List<String> unreachablePools() {
    return poolsWith(pool -> pool.unreachable);
  }

  /** Returns the names of the pools that are silent for a long time, and not unreachable. */
  List<String> silentPools() {
    long now = time.steadyMillis();
    return poolsWith(
        pool ->
            !pool.unreachable
                && pool.sentAtMillis != NEVER
                && now - pool.sentAtMillis > MAX_SILENCE_MILLIS);
  }

  private List<String> poolsWith(Predicate<Pool> condition) {
    return pools.entrySet().stream()
        .filter(entry -> condition.test(entry.getValue()))
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }
}
