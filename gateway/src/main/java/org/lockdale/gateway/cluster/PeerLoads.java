package org.lockdale.gateway.cluster;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.lockdale.coordination.time.Time;

/**
 * Prompt tokens that other nodes have sent to each engine and that wait there. What a node told is
 * believed for a short time only, so that lost messages and dead nodes do no lasting harm. Safe for
 * use by several threads.
 */
public final class PeerLoads {

  private static final long BELIEF_MILLIS = 1_500;

  private record Told(long waitingTokens, long atMillis) {}

  private final Time time;
  private final Map<String, Map<String, Told>> byEngine = new ConcurrentHashMap<>();

  /** Creates an empty table. */
  public PeerLoads(Time time) {
    this.time = time;
  }

  /** Takes in what a node told of an engine. */
  public void told(String node, String engine, long waitingTokens) {
    Map<String, Told> byNode = byEngine.computeIfAbsent(engine, id -> new ConcurrentHashMap<>());
    if (waitingTokens == 0) {
      byNode.remove(node);
    } else {
      byNode.put(node, new Told(waitingTokens, time.monotonicMillis()));
    }
  }

  /** Returns the tokens that wait at an engine from all other nodes. */
  public long waitingTokens(String engine) {
    Map<String, Told> byNode = byEngine.get(engine);
    if (byNode == null) {
      return 0;
    }
    long now = time.monotonicMillis();
    long sum = 0;
    for (Told told : byNode.values()) {
      sum += now - told.atMillis() < BELIEF_MILLIS ? told.waitingTokens() : 0;
    }
    return sum;
  }

  /** Forgets engines that are gone. */
  public void retain(java.util.Set<String> engines) {
    byEngine.keySet().retainAll(engines);
  }
}
