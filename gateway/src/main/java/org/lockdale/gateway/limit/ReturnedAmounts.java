package org.lockdale.gateway.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * Amounts of requests that were granted but not run, for reuse by later requests of the same tenant
 * at this node. Each expires at its original time, so that what was granted earlier never adds to a
 * later window. Performs no I/O; the time is passed in. Not thread-safe.
 */
public final class ReturnedAmounts {

  /** Maximum number of amounts kept for each tenant; further ones are dropped. */
  private static final int MAX_KEPT = 64;

  private final Map<String, Deque<Admission.Granted>> byTenant = new HashMap<>();

  /** Adds an amount that was not used. Ignored if it has expired. */
  public void add(Admission.Granted granted, long nowMillis) {
    Deque<Admission.Granted> kept =
        byTenant.computeIfAbsent(granted.tenant(), name -> new ArrayDeque<>());
    expire(kept, nowMillis);
    if (kept.size() < MAX_KEPT && granted.usableUntilMillis() > nowMillis) {
      kept.add(granted);
    }
  }

  /**
   * Removes an amount that covers a request and returns the grant, which expires when the removed
   * one would have; empty if there is none. The rest of the removed amount is lost.
   */
  public Optional<Admission.Granted> take(String tenant, double amount, long nowMillis) {
    Deque<Admission.Granted> kept = byTenant.get(tenant);
    if (kept == null) {
      return Optional.empty();
    }
    expire(kept, nowMillis);
    Iterator<Admission.Granted> all = kept.iterator();
    while (all.hasNext()) {
      Admission.Granted granted = all.next();
      if (granted.amount() >= amount) {
        all.remove();
        return Optional.of(new Admission.Granted(tenant, amount, granted.usableUntilMillis()));
      }
    }
    return Optional.empty();
  }

  private static void expire(Deque<Admission.Granted> kept, long nowMillis) {
    kept.removeIf(granted -> granted.usableUntilMillis() <= nowMillis);
  }
}
