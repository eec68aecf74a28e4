package org.lockdale.gateway.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Chooses the relay that decides on limits. Its buckets are what it has gathered over some time, so
 * a relay that has most shares is kept though a more senior one comes back. No two relays have more
 * than half of the shares, so that all nodes choose the same one.
 */
public final class Deciders {

  private static final double MOST = 0.5;

  private Deciders() {}

  /**
   * Returns the relays in the order in which they decide.
   *
   * @param bySeniority ids of the relays, the most senior first
   * @param share tells the shares that a relay has, from 0 to 1
   */
  public static List<String> inOrder(List<String> bySeniority, ToDoubleFunction<String> share) {
    List<String> order = new ArrayList<>(bySeniority);
    for (String relay : bySeniority) {
      if (share.applyAsDouble(relay) > MOST) {
        order.remove(relay);
        order.add(0, relay);
      }
    }
    return order;
  }
}
