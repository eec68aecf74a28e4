package org.lockdale.gateway.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The loans of shares and reserves that a node of {@link LimitSimulation} gives and holds. */
final class SimulatedShareLoans {

  private final LimitSimulation simulation;
  private final LimitSimulationNode node;
  private ShareLender shareLender;
  private ShareLender reserveLender;
  private Map<String, ShareLender.Heartbeat> heartbeats;

  SimulatedShareLoans(LimitSimulation simulation, LimitSimulationNode node) {
    this.simulation = simulation;
    this.node = node;
  }

  /** Forgets the loans of the former incarnation. */
  void start() {
    shareLender = new ShareLender(node.clock());
    reserveLender = new ShareLender(node.clock());
    heartbeats = new HashMap<>();
  }

  void onHeartbeat(ShareLender.Heartbeat heartbeat) {
    heartbeats.put(heartbeat.relay(), heartbeat);
    lend();
  }

  /** Lends the share to the first limit relay and the reserve to the second one. */
  void lend() {
    List<String> relays = node.limitRelays();
    lend(false, simulation.node(relays.get(0)));
    lend(true, simulation.node(relays.get(Math.min(1, relays.size() - 1))));
  }

  private ShareLender lender(boolean reserve) {
    return reserve ? reserveLender : shareLender;
  }

  private void lend(boolean reserve, LimitSimulationNode borrower) {
    recall(reserve, borrower);
    ShareLender.Heartbeat heartbeat =
        borrower == node
            ? new ShareLender.Heartbeat(node.id, node.incarnation(), node.clock(), node.clock())
            : heartbeats.get(borrower.id);
    if (heartbeat == null
        || node.knownNodes() == 0
        || !lender(reserve).lend(heartbeat, node.clock())) {
      return;
    }
    double part = 1.0 / node.knownNodes();
    if (borrower == node) {
      borrow(node.id, heartbeat, part, reserve);
    } else {
      simulation.send(
          node, borrower, () -> borrower.loans().borrow(node.id, heartbeat, part, reserve));
    }
  }

  private void recall(boolean reserve, LimitSimulationNode borrower) {
    ShareLender recalls = lender(reserve);
    recalls
        .recall(borrower.id, node.clock())
        .ifPresent(
            loan -> {
              LimitSimulationNode former = simulation.node(loan.relay());
              if (former == node) {
                release(node, loan, reserve);
              } else {
                simulation.send(node, former, () -> former.loans().release(node, loan, reserve));
              }
              long wait = Math.max(0, recalls.lentUntilMillis() - node.clock());
              node.afterWhenAwake(wait, this::lend);
            });
  }

  private void release(LimitSimulationNode lender, ShareLender.Heartbeat loan, boolean reserve) {
    if (loan.incarnation() != node.incarnation()) {
      return;
    }
    long until = loan.sentAtMillis() + ShareLender.TERM_MILLIS;
    if (reserve) {
      node.buckets().releaseReserve(lender.id, until, node.clock());
    } else {
      node.buckets().release(lender.id, until, node.clock());
    }
    long ownIncarnation = node.incarnation();
    if (lender == node) {
      lender(reserve).released(node.id, ownIncarnation, loan.sentAtMillis(), node.clock());
    } else {
      simulation.send(
          node,
          lender,
          () -> lender.loans().released(node, ownIncarnation, loan.sentAtMillis(), reserve));
    }
  }

  private void released(
      LimitSimulationNode relay, long relayIncarnation, long sentAt, boolean reserve) {
    lender(reserve).released(relay.id, relayIncarnation, sentAt, node.clock());
    lend();
  }

  private void borrow(
      String lender, ShareLender.Heartbeat heartbeat, double part, boolean reserve) {
    if (heartbeat.incarnation() != node.incarnation()) {
      return;
    }
    long until = heartbeat.sentAtMillis() + ShareLender.TERM_MILLIS;
    if (reserve) {
      node.buckets().reserveLent(lender, part, until, node.clock());
    } else {
      node.buckets().lent(lender, part, until, node.clock());
    }
  }
}
