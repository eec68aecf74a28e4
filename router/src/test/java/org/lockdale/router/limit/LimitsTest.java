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

/** Limits, the capacity queue and retry budgets. */
public final class LimitsTest {

  private final AtomicInteger room = new AtomicInteger();
  private final List<String> started = new ArrayList<>();

  private boolean takeRoom() {
    return room.getAndUpdate(free -> Math.max(0, free - 1)) > 0;
  }

  private void add(CapacityQueue queue, int level, String tenant, int weight) {
    CapacityQueue.Waiter waiter = queue.add(level, tenant, weight, this::takeRoom);
    assertNotNull(waiter);
    waiter.started().thenRun(() -> started.add(tenant));
  }

  private long startedOf(String tenant) {
    return started.stream().filter(tenant::equals).count();
  }

  /** Higher levels go first, whoever came first. */
  @Test
  public void priorityComesFirst() {
    started.clear();
    CapacityQueue queue = new CapacityQueue(100);
    add(queue, 100, "draft", 100);
    add(queue, 900, "counter", 100);
    room.set(1);
    queue.drain();
    assertEquals(started, List.of("counter"));
    assertEquals(queue.lengthAtOrAbove(900), 0);
    assertEquals(queue.length(), 1);
  }

  /** The flood of one tenant does not make another wait behind it; weights share the room. */
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
    room.set(80);
    queue.drain();
    assertEquals(started.size(), 80);
    assertTrue(Math.abs(startedOf("small") - 20) <= 1, started.toString());
    assertTrue(Math.abs(startedOf("large") - 40) <= 1, started.toString());
    assertTrue(Math.abs(startedOf("flood") - 20) <= 1, started.toString());
  }

  /** A request that finds no room lets another tenant's go first, whose engines may be others. */
  @Test
  public void oneTenantWithoutRoomHoldsNobodyUp() {
    started.clear();
    CapacityQueue queue = new CapacityQueue(10);
    queue.add(500, "stuck", 100, () -> false);
    add(queue, 500, "free", 100);
    room.set(1);
    queue.drain();
    assertEquals(started, List.of("free"));
  }

  /** The queue is bounded, and who gives up leaves it. */
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

  /** Requests in flight and a second are counted for each tenant. */
  @Test
  public void limitsAreKept() {
    TenantUsage usage = new TenantUsage();
    TenantLimit limit = new TenantLimit(2, 3, 100);
    assertTrue(usage.tryAcquire(limit, 0));
    assertTrue(usage.tryAcquire(limit, 0));
    assertFalse(usage.tryAcquire(limit, 0), "a third at once");
    usage.release();
    assertTrue(usage.tryAcquire(limit, 0));
    usage.release();
    assertFalse(usage.tryAcquire(limit, 0), "a fourth in the second");
    assertTrue(usage.tryAcquire(limit, 1_000));
    assertEquals(usage.inFlight(), 2);
  }

  /** Retries are a share of successes. */
  @Test
  public void retriesAreBounded() {
    RetryBudget budget = new RetryBudget();
    int granted = 0;
    while (budget.tryRetry()) {
      granted++;
    }
    assertEquals(granted, 20);
    for (int success = 0; success < 10; success++) {
      budget.succeeded();
    }
    assertTrue(budget.tryRetry());
    assertTrue(budget.tryRetry());
    assertFalse(budget.tryRetry());
  }
}
