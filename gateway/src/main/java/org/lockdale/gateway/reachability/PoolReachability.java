package org.lockdale.gateway.reachability;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToIntFunction;
import org.lockdale.coordination.time.Time;
import org.tinylog.Logger;

/**
 * Detects that this node can't connect to the backends of a pool. A pool counts as unreachable once
 * connections to several of its backends have failed in a row, and until one of its backends is
 * reached again. Whether the links of this node are cut or the backends have crashed is not known
 * here; only other nodes can tell. A state machine without I/O; thread-safe.
 */
public final class PoolReachability {

  /** Number of backends of a pool that must fail in a row; all of them if there are fewer. */
  private static final int MIN_FAILED_BACKENDS = 3;

  /** The backends of a pool to which connections have failed since one was reached. */
  private static final class Pool {
    final Set<String> failed = new HashSet<>();
    boolean unreachable;
    long unreachableSinceMillis;
  }

  private final ToIntFunction<String> backendCount;
  private final Time time;
  private final Map<String, Pool> pools = new ConcurrentHashMap<>();

  /**
   * Creates a detector that takes all pools for reachable.
   *
   * @param backendCount returns the number of backends of a pool that accept requests
   * @param time clock
   */
  public PoolReachability(ToIntFunction<String> backendCount, Time time) {
    this.backendCount = backendCount;
    this.time = time;
  }

  /** Records that a backend of a pool has responded or accepted a connection. */
  public void recordReached(String poolName) {
    Pool pool = pools.get(poolName);
    if (pool == null) {
      return;
    }
    synchronized (pool) {
      pool.failed.clear();
      if (pool.unreachable) {
        pool.unreachable = false;
        Logger.info(
            "event=pool-reached pool={} unreachable-ms={}",
            poolName,
            time.steadyMillis() - pool.unreachableSinceMillis);
      }
    }
  }

  /**
   * Records that no connection to a backend could be established.
   *
   * @return whether the pool has become unreachable by this
   */
  public boolean recordFailure(String poolName, String backend) {
    Pool pool = pools.computeIfAbsent(poolName, name -> new Pool());
    synchronized (pool) {
      pool.failed.add(backend);
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
    if (pool == null) {
      return false;
    }
    synchronized (pool) {
      return pool.unreachable;
    }
  }

  /** Returns the names of the pools that are unreachable. */
  public List<String> unreachablePools() {
    return pools.keySet().stream().filter(this::isUnreachable).sorted().toList();
  }
}
