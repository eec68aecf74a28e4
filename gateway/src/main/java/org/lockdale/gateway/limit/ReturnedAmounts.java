package org.lockdale.gateway.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * Amounts of requests that were granted and not run, for use by later requests of the same tenant
 * at this node. Each may be used until its own time only, so that what was granted early never adds
 * to a later window. Without I/O; time is injected; not safe for use by several threads.
 */
public final class ReturnedAmounts {

  /** Amounts that are kept for each tenant; further ones are dropped. */
  private static final int MAX_KEPT = 64;

  private final Map<String, Deque<Admission.Granted>> byTenant = new HashMap<>();

  /** Keeps an amount that was not used. */
  public void add(Admission.Granted granted, long nowMillis) {
    Deque<Admission.Granted> kept =
        byTenant.computeIfAbsent(granted.tenant(), name -> new ArrayDeque<>());
    expire(kept, nowMillis);
    if (kept.size() < MAX_KEPT && granted.usableUntilMillis() > nowMillis) {
      kept.add(granted);
    }
  }

  /** Takes one amount that covers a request, with the time until which it may be used. */
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
