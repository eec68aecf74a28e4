package org.lockdale.gateway.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.gateway.configuration.Route;
import org.lockdale.gateway.configuration.WeightedPool;

/**
 * Distributes the requests of a route over its pools in proportion to their weights. Smooth
 * weighted round robin keeps each pool's count of requests within one of its share at any time.
 * Safe for use by several threads.
 */
public final class SplitSelector {

  private final Map<String, Map<String, Long>> creditsByRoute = new HashMap<>();

  /** Returns the pool that serves the next request of a route. */
  public String next(Route route) {
    List<WeightedPool> pools = route.pools();
    return pools.size() == 1 ? pools.get(0).pool() : nextWeighted(route.name(), pools);
  }

  private synchronized String nextWeighted(String route, List<WeightedPool> pools) {
    Map<String, Long> credits = creditsByRoute.computeIfAbsent(route, name -> new HashMap<>());
    long total = 0;
    WeightedPool best = pools.get(0);
    for (WeightedPool pool : pools) {
      total += pool.weight();
      long credit = credits.merge(pool.pool(), (long) pool.weight(), Long::sum);
      if (credit > credits.getOrDefault(best.pool(), Long.MIN_VALUE)) {
        best = pool;
      }
    }
    credits.merge(best.pool(), -total, Long::sum);
    return best.pool();
  }
}
