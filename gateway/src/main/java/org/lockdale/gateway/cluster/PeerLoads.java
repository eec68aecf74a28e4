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
 * Work of other nodes at each back end: what they told, and what was placed for them and is not yet
 * counted in what they told. Neither is believed for long, so that lost messages and dead nodes do
 * no lasting harm. Safe for use by several threads.
 */
public final class PeerLoads implements RemoteLoads {

  private static final long TOLD_BELIEF_MILLIS = 1_500;
  private static final long PLACED_BELIEF_MILLIS = 2_000;

  private record Told(BackendWork work, long atMillis) {}

  private record Placed(String node, long number, String engine, long tokens, long atMillis) {}

  private final Time time;
  private final Map<String, Map<String, Told>> toldByEngine = new HashMap<>();
  private final Map<String, Deque<Placed>> placedByNode = new HashMap<>();
  private final Map<String, BackendWork> placedByEngine = new HashMap<>();

  /** Creates an empty table. */
  public PeerLoads(Time time) {
    this.time = time;
  }

  /** Takes in what a node told of its work at a back end. */
  public synchronized void told(String node, String engine, BackendWork work) {
    Map<String, Told> byNode = toldByEngine.computeIfAbsent(engine, id -> new HashMap<>());
    if (work.isNone()) {
      byNode.remove(node);
    } else {
      byNode.put(node, new Told(work, time.monotonicMillis()));
    }
  }

  /** Notes that a request of a node was placed. */
  public synchronized void placed(String node, long number, String engine, long tokens) {
    Placed placed = new Placed(node, number, engine, tokens, time.monotonicMillis());
    placedByNode.computeIfAbsent(node, id -> new ArrayDeque<>()).add(placed);
    placedByEngine.merge(engine, new BackendWork(tokens, 0, 1), BackendWork::plus);
  }

  /** Notes that what a node tells counts all its placements up to a number. */
  public synchronized void counted(String node, long latestPlacement) {
    Deque<Placed> placed = placedByNode.get(node);
    while (placed != null && !placed.isEmpty() && placed.peek().number() <= latestPlacement) {
      forget(placed.poll());
    }
  }

  private void forget(Placed placed) {
    placedByEngine.computeIfPresent(
        placed.engine(),
        (engine, work) -> {
          BackendWork left = work.minus(new BackendWork(placed.tokens(), 0, 1));
          return left.isNone() ? null : left;
        });
  }

  /** Forgets what is no longer believed; to be called from time to time. */
  public synchronized void expire() {
    long now = time.monotonicMillis();
    placedByNode
        .values()
        .removeIf(
            placed -> {
              while (!placed.isEmpty() && now - placed.peek().atMillis() > PLACED_BELIEF_MILLIS) {
                forget(placed.poll());
              }
              return placed.isEmpty();
            });
    toldByEngine
        .values()
        .removeIf(
            byNode -> {
              byNode.values().removeIf(told -> now - told.atMillis() > TOLD_BELIEF_MILLIS);
              return byNode.isEmpty();
            });
  }

  @Override
  public synchronized BackendWork at(String engine) {
    BackendWork sum = placedByEngine.getOrDefault(engine, BackendWork.NONE);
    Map<String, Told> byNode = toldByEngine.get(engine);
    if (byNode == null) {
      return sum;
    }
    long now = time.monotonicMillis();
    Iterator<Told> told = byNode.values().iterator();
    while (told.hasNext()) {
      Told next = told.next();
      if (now - next.atMillis() <= TOLD_BELIEF_MILLIS) {
        sum = sum.plus(next.work());
      }
    }
    return sum;
  }
}
