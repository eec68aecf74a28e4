package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Rules on the lease and the fencing tokens under which nodes give orders to servers. */
final class LeaseRules {

  private LeaseRules() {}

  /** Checks rule ONE: a single node at a time holds the lease and its fencing token. */
  static List<RuleBreak> singleHolder(History history) {
    List<RuleBreak> violations = new ArrayList<>();
    List<Note.Ordered> orders = new ArrayList<>(history.orders());
    orders.sort(Comparator.comparingLong(Note.Ordered::atMillis));
    Map<Long, String> holders = new HashMap<>();
    Map<String, Note.Ordered> latest = new HashMap<>();
    for (Note.Ordered order : orders) {
      String other = holders.putIfAbsent(order.fence(), order.holder());
      if (other != null && !other.equals(order.holder())) {
        violations.add(
            new RuleBreak(
                "ONE",
                order.server(),
                "fencing token " + order.fence() + " used by " + other + " and " + order.holder()));
      }
      Note.Ordered before = latest.put(order.server(), order);
      if (before != null && isTakeoverWithinLease(history, before, order)) {
        violations.add(
            new RuleBreak(
                "ONE",
                order.server(),
                order.holder()
                    + " ordered "
                    + (order.atMillis() - before.atMillis())
                    + " ms after "
                    + before.holder()));
      }
    }
    return violations;
  }

  /** Returns whether an order of another holder came too soon after the one before. */
  private static boolean isTakeoverWithinLease(
      History history, Note.Ordered before, Note.Ordered order) {
    return !before.holder().equals(order.holder())
        && order.atMillis() - before.atMillis() < history.bounds().leaseMillis()
        && history.isStable(before.holder(), before.atMillis(), before.atMillis())
        && history.isStable(order.holder(), order.atMillis(), order.atMillis());
  }
}
