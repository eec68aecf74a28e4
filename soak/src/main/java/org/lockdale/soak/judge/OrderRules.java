package org.lockdale.soak.judge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Who may give orders to servers. */
final class OrderRules {

  private OrderRules() {}

  static List<RuleBreak> one(History history) {
    List<RuleBreak> breaks = new ArrayList<>();
    List<Note.Ordered> orders = new ArrayList<>(history.orders());
    orders.sort(Comparator.comparingLong(Note.Ordered::atMillis));
    Map<Long, String> holders = new HashMap<>();
    Map<String, Note.Ordered> latest = new HashMap<>();
    for (Note.Ordered order : orders) {
      String other = holders.putIfAbsent(order.fence(), order.holder());
      if (other != null && !other.equals(order.holder())) {
        breaks.add(
            new RuleBreak(
                "ONE",
                order.server(),
                "fencing token " + order.fence() + " of " + other + " and " + order.holder()));
      }
      Note.Ordered before = latest.put(order.server(), order);
      if (before != null && isTurn(history, before, order)) {
        breaks.add(
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
    return breaks;
  }

  private static boolean isTurn(History history, Note.Ordered before, Note.Ordered order) {
    return !before.holder().equals(order.holder())
        && order.atMillis() - before.atMillis() < history.bounds().leaseMillis()
        && history.inTouch(before.holder(), before.atMillis(), before.atMillis())
        && history.inTouch(order.holder(), order.atMillis(), order.atMillis());
  }
}
