package org.lockdale.router.engine;

import java.net.InetSocketAddress;
import java.util.Map;

/**
 * State of one engine as known to this node; immutable except for {@link #activity}.
 *
 * @param id engine id
 * @param identity hash of the id for rendezvous placement
 * @param address IP address and port
 * @param zone zone
 * @param labels labels of the engine, overridden by those set by operators
 * @param incarnation last reported incarnation, or an empty string before the first report
 * @param weights weights version by model
 * @param leaving whether it is draining, according to the machine list or its own report
 * @param load last reported load
 * @param activity counts of this node's requests to it
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

  /** Returns whether the engine can be sent new requests. */
  public boolean isUsable(long nowMillis) {
    return !leaving && !incarnation.isEmpty() && !activity.isAvoided(nowMillis);
  }

  /**
   * Returns the number of sequences that run or wait, including those that this node sent since the
   * last report.
   */
  public int expectedOccupancy() {
    return load.running() + load.queued() + activity.sentSinceReport();
  }
}
