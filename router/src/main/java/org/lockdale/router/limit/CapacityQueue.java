package org.lockdale.router.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Queue of requests that wait at this node for capacity at an engine. Higher priorities are started
 * first. Within a priority, tenants share capacity by weight (start-time fair queueing), so that a
 * burst of one tenant delays mainly its own requests. Safe for use by several threads.
 */
public final class CapacityQueue {

  /** A queued request. */
  public static final class Waiter {
    private final String tenant;
    private final int weight;
    private final BooleanSupplier starter;
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private double finishTag;

    private Waiter(String tenant, int weight, BooleanSupplier starter) {
      this.tenant = tenant;
      this.weight = weight;
      this.starter = starter;
    }

    /** Returns a future that completes when capacity has been reserved for the request. */
    public CompletableFuture<Void> started() {
      return started;
    }
  }

  private static final class Level {
    final Map<String, Deque<Waiter>> byTenant = new HashMap<>();
    final Map<String, Double> lastFinish = new HashMap<>();
    double virtualTime;
    int size;
  }

  private static final double REQUEST_COST = 100;

  private final int maxLength;
  private final TreeMap<Integer, Level> levels = new TreeMap<>((left, right) -> right - left);
  private int length;

  /**
   * Creates an empty queue.
   *
   * @param maxLength maximum number of queued requests
   */
  public CapacityQueue(int maxLength) {
    this.maxLength = maxLength;
  }

  /**
   * Adds a request.
   *
   * @param priorityLevel higher levels are started first
   * @param tenant tenant
   * @param weight relative share of the tenant
   * @param starter reserves capacity for the request and returns whether there was any; called with
   *     the queue locked, so it must be short
   * @return the waiter, or null if the queue is full
   */
  public synchronized @Nullable Waiter add(
      int priorityLevel, String tenant, int weight, BooleanSupplier starter) {
    if (length >= maxLength) {
      return null;
    }
    Level level = levels.computeIfAbsent(priorityLevel, absent -> new Level());
    Waiter waiter = new Waiter(tenant, weight, starter);
    double start =
        Math.max(level.virtualTime, level.lastFinish.getOrDefault(tenant, level.virtualTime));
    waiter.finishTag = start + REQUEST_COST / weight;
    level.lastFinish.put(tenant, waiter.finishTag);
    level.byTenant.computeIfAbsent(tenant, absent -> new ArrayDeque<>()).add(waiter);
    level.size++;
    length++;
    return waiter;
  }

  /** Removes a request that is no longer to be started; returns false if it is not queued. */
  public synchronized boolean remove(Waiter waiter) {
    for (Level level : levels.values()) {
      Deque<Waiter> queue = level.byTenant.get(waiter.tenant);
      if (queue != null && queue.remove(waiter)) {
        updateAfterRemoval(level, waiter.tenant, queue);
        return true;
      }
    }
    return false;
  }

  private void updateAfterRemoval(Level level, String tenant, Deque<Waiter> queue) {
    length--;
    level.size--;
    if (queue.isEmpty()) {
      level.byTenant.remove(tenant);
    }
    if (level.size == 0) {
      level.lastFinish.clear();
    }
  }

  /**
   * Starts requests in order while there is capacity. If there is none for a request, the later
   * ones of its tenant at that priority wait too, but those of other tenants are tried, since they
   * may use other engines.
   */
  public void drain() {
    Waiter next = pollStartable();
    while (next != null) {
      next.started.complete(null);
      next = pollStartable();
    }
  }

  private synchronized @Nullable Waiter pollStartable() {
    for (Level level : levels.values()) {
      Waiter found = pollStartable(level);
      if (found != null) {
        return found;
      }
    }
    return null;
  }

  private @Nullable Waiter pollStartable(Level level) {
    Iterator<Waiter> heads = headsInOrder(level);
    while (heads.hasNext()) {
      Waiter head = heads.next();
      if (head.starter.getAsBoolean()) {
        Deque<Waiter> queue = level.byTenant.get(head.tenant);
        queue.poll();
        level.virtualTime =
            Math.max(level.virtualTime, head.finishTag - REQUEST_COST / head.weight);
        updateAfterRemoval(level, head.tenant, queue);
        return head;
      }
    }
    return null;
  }

  private static Iterator<Waiter> headsInOrder(Level level) {
    return level.byTenant.values().stream()
        .map(Deque::peek)
        .sorted((left, right) -> Double.compare(left.finishTag, right.finishTag))
        .iterator();
  }

  /** Returns the number of queued requests. */
  public synchronized int length() {
    return length;
  }

  /** Returns the number of queued requests of a priority level or a higher one. */
  public synchronized int lengthAtOrAbove(int priorityLevel) {
    int count = 0;
    for (Map.Entry<Integer, Level> entry : levels.entrySet()) {
      if (entry.getKey() >= priorityLevel) {
        count += entry.getValue().size;
      }
    }
    return count;
  }
}
