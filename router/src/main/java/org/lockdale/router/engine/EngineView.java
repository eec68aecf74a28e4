package org.lockdale.router.engine;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * What this node believes of one engine; immutable but for the activity of this node itself.
 *
 * @param id engine id
 * @param identity hash of the id for rendezvous placement
 * @param address IP address and port
 * @param zone zone
 * @param labels labels of the engine, overridden by those operators gave it
 * @param incarnation incarnation it last reported, or an empty string before the first report
 * @param weights weights version by model
 * @param leaving whether it takes no new work, from the machine list or its own word
 * @param load last reported load
 * @param activity what this node does with it
 */
public record EngineView(
    String id,
    long identity,
    InetSocketAddress address,
    String zone,
    Map<String, String> labels,
    String incarnation,
    Map<String, String> weights,
    boolean leaving,
    EngineLoad load,
    EngineActivity activity) {

  /** Returns whether the engine can be given new work. */
  public boolean isUsable(long nowMillis) {
    return !leaving && !incarnation.isEmpty() && !activity.isAvoided(nowMillis);
  }

  /** Returns sequences that run or wait, own sends since the report included. */
  public int expectedOccupancy() {
    return load.running() + load.queued() + activity.sentSinceReport();
  }
}
