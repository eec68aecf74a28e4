package org.lockdale.gateway.cluster;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.backend.RemoteLoads;

/**
 * Load of other nodes at each backend: the load that they reported, and the requests that were
 * placed for them and are not yet part of their reports. Both expire after a short time, so that
 * lost messages and dead nodes do no lasting harm. Thread-safe.
 */
public final class PeerLoads implements RemoteLoads {

  private static final long REPORT_EXPIRY_MILLIS = 1_500;
  private static final long PLACEMENT_EXPIRY_MILLIS = 2_000;

  private record Report(BackendWork work, long atMillis) {}

  private record PendingPlacement(
      String node, long number, String engine, long tokens, long atMillis) {}

  private final Time time;
  private final Map<String, Map<String, Report>> reportsByEngine = new HashMap<>();
  private final Map<String, Deque<PendingPlacement>> placementsByNode = new HashMap<>();
  private final Map<String, BackendWork> placedWorkByEngine = new HashMap<>();

  /** Creates an instance without any load. */
  public PeerLoads(Time time) {
    this.time = time;
  }

  /** Records the load that a node reported at a backend. */
  public synchronized void recordReport(String node, String engine, BackendWork work) {
    Map<String, Report> byNode = reportsByEngine.computeIfAbsent(engine, id -> new HashMap<>());
    if (work.isNone()) {
      byNode.remove(node);
    } else {
      byNode.put(node, new Report(work, time.monotonicMillis()));
    }
  }

  /** Records the placement of a request of a node. */
  public synchronized void recordPlacement(String node, long number, String engine, long tokens) {
    PendingPlacement placement =
        new PendingPlacement(node, number, engine, tokens, time.monotonicMillis());
    placementsByNode.computeIfAbsent(node, id -> new ArrayDeque<>()).add(placement);
    placedWorkByEngine.merge(engine, new BackendWork(tokens, 0, 1), BackendWork::plus);
  }

  /** Drops the placements of a node up to a number, as its reports now include them. */
  public synchronized void dropPlacementsUpTo(String node, long latestPlacement) {
    Deque<PendingPlacement> placements = placementsByNode.get(node);
    while (placements != null
        && !placements.isEmpty()
        && placements.peek().number() <= latestPlacement) {
      drop(placements.poll());
    }
  }

  /** Drops one placement of a node, which will not use it or counts it itself. */
  public synchronized void dropPlacement(String node, long number) {
    Deque<PendingPlacement> placements = placementsByNode.get(node);
    if (placements == null) {
      return;
    }
    Iterator<PendingPlacement> all = placements.iterator();
    while (all.hasNext()) {
      PendingPlacement next = all.next();
      if (next.number() == number) {
        all.remove();
        drop(next);
        return;
      }
    }
  }

  private void drop(PendingPlacement placement) {
    placedWorkByEngine.computeIfPresent(
        placement.engine(),
        (engine, work) -> {
          BackendWork left = work.minus(new BackendWork(placement.tokens(), 0, 1));
          return left.isNone() ? null : left;
        });
  }

  /** Drops what has expired; to be called periodically. */
  public synchronized void expire() {
    long now = time.monotonicMillis();
    placementsByNode
        .values()
        .removeIf(
            placements -> {
              while (!placements.isEmpty()
                  && now - placements.peek().atMillis() > PLACEMENT_EXPIRY_MILLIS) {
                drop(placements.poll());
              }
              return placements.isEmpty();
            });
    reportsByEngine
        .values()
        .removeIf(
            byNode -> {
              byNode.values().removeIf(report -> now - report.atMillis() > REPORT_EXPIRY_MILLIS);
              return byNode.isEmpty();
            });
  }

  @Override
  public synchronized BackendWork at(String engine) {
    BackendWork sum = placedWorkByEngine.getOrDefault(engine, BackendWork.NONE);
    Map<String, Report> byNode = reportsByEngine.get(engine);
    if (byNode == null) {
      return sum;
    }
    long now = time.monotonicMillis();
    Iterator<Report> all = byNode.values().iterator();
    while (all.hasNext()) {
      Report next = all.next();
      if (now - next.atMillis() <= REPORT_EXPIRY_MILLIS) {
        sum = sum.plus(next.work());
      }
    }
    return sum;
  }
}
