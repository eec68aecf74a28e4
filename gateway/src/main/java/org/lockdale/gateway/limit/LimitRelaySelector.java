package org.lockdale.gateway.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * Selects the limit relay: the relay node that decides on limits. The level of the buckets of a
 * relay depends on the shares that it has held over time, so a relay that holds the majority of the
 * shares is preferred over a more senior one that has returned. At most one relay can hold more
 * than half of the shares, so all nodes select the same one.
 */
public final class LimitRelaySelector {

  private static final double MAJORITY = 0.5;

  private LimitRelaySelector() {}

  /**
   * Returns the relays in the order in which they are to decide on limits.
   *
   * @param bySeniority ids of the relays, the most senior first
   * @param share returns the sum of the shares that a relay holds, from 0 to 1
   */
  public static List<String> inOrder(List<String> bySeniority, ToDoubleFunction<String> share) {
    List<String> order = new ArrayList<>(bySeniority);
    for (String relay : bySeniority) {
      if (share.applyAsDouble(relay) > MAJORITY) {
        order.remove(relay);
        order.add(0, relay);
      }
    }
    return order;
  }
}
