package org.lockdale.router.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.lockdale.router.policy.TenantLimit;
import org.testng.annotations.Test;

/** Tests tenant limits, the capacity queue and retry budgets. */
public final class LimitsTest {

  private final AtomicInteger capacity = new AtomicInteger();
  private final List<String> started = new ArrayList<>();

  private boolean reserveCapacity() {
    return capacity.getAndUpdate(free -> Math.max(0, free - 1)) > 0;
  }

  private void add(CapacityQueue queue, int level, String tenant, int weight) {
    CapacityQueue.Waiter waiter = queue.add(level, tenant, weight, this::reserveCapacity);
    assertNotNull(waiter);
    waiter.started().thenRun(() -> started.add(tenant));
  }

  private long startedOf(String tenant) {
    return started.stream().filter(tenant::equals).count();
  }

  /** Higher levels are started first, regardless of the order of arrival. */
  @Test
  public void priorityComesFirst() {
    started.clear();
    CapacityQueue queue = new CapacityQueue(100);
    add(queue, 100, "draft", 100);
    add(queue, 900, "counter", 100);
    capacity.set(1);
    queue.drain();
    assertEquals(started, List.of("counter"));
    assertEquals(queue.lengthAtOrAbove(900), 0);
    assertEquals(queue.length(), 1);
  }

  /** A burst of one tenant does not delay another; tenants share the capacity by weight. */
  @Test
  public void tenantsShareByWeight() {
    started.clear();
    CapacityQueue queue = new CapacityQueue(1_000);
    for (int request = 0; request < 300; request++) {
      add(queue, 500, "flood", 100);
    }
    for (int request = 0; request < 100; request++) {
      add(queue, 500, "small", 100);
      add(queue, 500, "large", 200);
    }
    capacity.set(80);
    queue.drain();
    assertEquals(started.size(), 80);
    assertTrue(Math.abs(startedOf("small") - 20) <= 1, started.toString());
    assertTrue(Math.abs(startedOf("large") - 40) <= 1, started.toString());
    assertTrue(Math.abs(startedOf("flood") - 20) <= 1, started.toString());
  }

  /**
   * A request without capacity does not block those of other tenants, which may use other engines.
   */
  @Test
  public void tenantWithoutCapacityDoesNotBlockOthers() {
    started.clear();
    CapacityQueue queue = new CapacityQueue(10);
    queue.add(500, "stuck", 100, () -> false);
    add(queue, 500, "free", 100);
    capacity.set(1);
    queue.drain();
    assertEquals(started, List.of("free"));
  }

  /** The queue is bounded, and a request can be removed from it once. */
  @Test
  public void theQueueIsBounded() {
    CapacityQueue queue = new CapacityQueue(2);
    CapacityQueue.Waiter first = queue.add(1, "a", 100, () -> false);
    assertNotNull(queue.add(1, "a", 100, () -> false));
    assertNull(queue.add(1, "a", 100, () -> false));
    assertTrue(queue.remove(first));
    assertFalse(queue.remove(first));
    assertEquals(queue.length(), 1);
  }

  /** Concurrent requests and requests per second are limited. */
  @Test
  public void limitsAreEnforced() {
    TenantUsage usage = new TenantUsage();
    TenantLimit limit = new TenantLimit(2, 3, 100);
    assertTrue(usage.tryAcquire(limit, 0));
    assertTrue(usage.tryAcquire(limit, 0));
    assertFalse(usage.tryAcquire(limit, 0), "third concurrent request");
    usage.release();
    assertTrue(usage.tryAcquire(limit, 0));
    usage.release();
    assertFalse(usage.tryAcquire(limit, 0), "fourth request in the same second");
    assertTrue(usage.tryAcquire(limit, 1_000));
    assertEquals(usage.inFlight(), 2);
  }

  /** Retries are limited to a fraction of successes. */
  @Test
  public void retriesAreBounded() {
    RetryBudget budget = new RetryBudget();
    int granted = 0;
    while (budget.tryRetry()) {
      granted++;
    }
    assertEquals(granted, 20);
    for (int success = 0; success < 10; success++) {
      budget.recordSuccess();
    }
    assertTrue(budget.tryRetry());
    assertTrue(budget.tryRetry());
    assertFalse(budget.tryRetry());
  }
}
