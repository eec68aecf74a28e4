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
 * Requests that wait at this node for room at an engine. Higher priority goes first; within a
 * priority tenants share by weight (start-time fair queueing), so the flood of one tenant makes
 * only itself wait. Safe for use by several threads.
 */
public final class CapacityQueue {

  /** A request that waits. */
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

    /** Returns a future that completes when the request has found room. */
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

  private static final double COST = 100;

  private final int maxLength;
  private final TreeMap<Integer, Level> levels = new TreeMap<>((left, right) -> right - left);
  private int length;

  /**
   * Creates an empty queue.
   *
   * @param maxLength most requests that may wait
   */
  public CapacityQueue(int maxLength) {
    this.maxLength = maxLength;
  }

  /**
   * Adds a request.
   *
   * @param priorityLevel higher goes first
   * @param tenant tenant
   * @param weight share of the tenant
   * @param starter takes room for the request if there is some; called with the queue locked, so it
   *     must be short
   * @return the waiter, or null where the queue is full
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
    waiter.finishTag = start + COST / weight;
    level.lastFinish.put(tenant, waiter.finishTag);
    level.byTenant.computeIfAbsent(tenant, absent -> new ArrayDeque<>()).add(waiter);
    level.size++;
    length++;
    return waiter;
  }

  /** Takes a request out that has given up; false where it has already started. */
  public synchronized boolean remove(Waiter waiter) {
    for (Level level : levels.values()) {
      Deque<Waiter> queue = level.byTenant.get(waiter.tenant);
      if (queue != null && queue.remove(waiter)) {
        shrink(level, waiter.tenant, queue);
        return true;
      }
    }
    return false;
  }

  private void shrink(Level level, String tenant, Deque<Waiter> queue) {
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
   * Starts requests as long as there is room, in order. A request that finds none lets the others
   * of its tenant wait too, but not other tenants, whose engines may be others.
   */
  public void drain() {
    Waiter next = takeStartable();
    while (next != null) {
      next.started.complete(null);
      next = takeStartable();
    }
  }

  private synchronized @Nullable Waiter takeStartable() {
    for (Level level : levels.values()) {
      Waiter found = takeStartable(level);
      if (found != null) {
        return found;
      }
    }
    return null;
  }

  private @Nullable Waiter takeStartable(Level level) {
    Iterator<Waiter> heads = headsInOrder(level);
    while (heads.hasNext()) {
      Waiter head = heads.next();
      if (head.starter.getAsBoolean()) {
        Deque<Waiter> queue = level.byTenant.get(head.tenant);
        queue.poll();
        level.virtualTime = Math.max(level.virtualTime, head.finishTag - COST / head.weight);
        shrink(level, head.tenant, queue);
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

  /** Returns how many requests wait. */
  public synchronized int length() {
    return length;
  }

  /** Returns how many requests of a priority or a higher one wait. */
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
