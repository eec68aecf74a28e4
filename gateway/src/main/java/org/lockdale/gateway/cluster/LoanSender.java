package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.IntSupplier;
import org.jspecify.annotations.Nullable;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.limit.ShareLender;
import org.lockdale.protocol.Message;
import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;
import org.lockdale.protocol.generated.ShareReleased;

/**
 * Lends this node's share of a quantity that all nodes use together, either to one relay or to this
 * node itself. The quantity is the tenants' limits, the reserves in addition to them, or the
 * backends' rates. Runs on one event loop.
 */
final class LoanSender {

  /**
   * A relay whose heartbeat was received.
   *
   * @param address address at which it receives datagrams
   * @param heartbeat its latest heartbeat
   * @param share sum of the shares that it held at that heartbeat
   */
  record Relay(InetSocketAddress address, ShareLender.Heartbeat heartbeat, double share) {}

  /**
   * Dependencies of a sender.
   *
   * @param selfId id of this node
   * @param executor runs the timers
   * @param sender sends loans and recalls to a relay
   * @param borrower accepts the loans to this node itself
   * @param nodes supplies the number of nodes, or 0 while it is unknown
   * @param startedAtMillis monotonic time at which the process started
   * @param time clock
   */
  record Context(
      String selfId,
      ScheduledExecutorService executor,
      BiConsumer<InetSocketAddress, Message> sender,
      ShareBorrower borrower,
      IntSupplier nodes,
      long startedAtMillis,
      Time time) {}

  private final Context context;
  private final boolean reserve;
  private final Runnable onShareAvailable;
  private final ShareLender lender;
  private ShareLender.@Nullable Heartbeat lastAnswered;
  private @Nullable Relay borrowingRelay;
  private boolean endScheduled;

  /**
   * Creates a sender.
   *
   * @param context dependencies
   * @param reserve whether it lends the share of the reserves
   * @param onShareAvailable run when a share that was lent elsewhere may be lent again
   */
  LoanSender(Context context, boolean reserve, Runnable onShareAvailable) {
    this.context = context;
    this.reserve = reserve;
    this.onShareAvailable = onShareAvailable;
    this.lender = new ShareLender(context.startedAtMillis());
  }

  /** Lends the share to this node itself. */
  void lendToSelf() {
    long now = context.time().monotonicMillis();
    recall(context.selfId(), now);
    ShareLender.Heartbeat heartbeat =
        new ShareLender.Heartbeat(context.selfId(), context.borrower().incarnation(), now, now);
    int nodes = context.nodes().getAsInt();
    if (nodes > 0 && lender.lend(heartbeat, now)) {
      context.borrower().borrow(context.selfId(), loan(heartbeat, nodes));
    }
  }

  /** Lends the share to a relay; each of its heartbeats is answered with at most one loan. */
  void lendTo(Relay relay) {
    ShareLender.Heartbeat heartbeat = relay.heartbeat();
    long now = context.time().monotonicMillis();
    recall(heartbeat.relay(), now);
    int nodes = context.nodes().getAsInt();
    if (nodes > 0 && !heartbeat.equals(lastAnswered) && lender.lend(heartbeat, now)) {
      lastAnswered = heartbeat;
      borrowingRelay = relay;
      context.sender().accept(relay.address(), loan(heartbeat, nodes));
    }
  }

  private ShareLoan loan(ShareLender.Heartbeat heartbeat, int nodes) {
    return new ShareLoan(heartbeat.incarnation(), heartbeat.sentAtMillis(), 1.0 / nodes, reserve);
  }

  /**
   * Recalls the share from another borrower: the share is available sooner if it is returned than
   * if the loan has to expire.
   */
  private void recall(String relay, long nowMillis) {
    Optional<ShareLender.Heartbeat> loan = lender.recall(relay, nowMillis);
    if (loan.isEmpty()) {
      return;
    }
    long sentAt = loan.get().sentAtMillis();
    ShareRecall recall = new ShareRecall(loan.get().incarnation(), sentAt, reserve);
    Relay previousBorrower = borrowingRelay;
    if (loan.get().relay().equals(context.selfId())) {
      context.borrower().release(context.selfId(), recall);
      lender.released(context.selfId(), loan.get().incarnation(), sentAt, nowMillis);
    } else if (previousBorrower != null) {
      context.sender().accept(previousBorrower.address(), recall);
    }
    scheduleLoanEnd(nowMillis);
  }

  private void scheduleLoanEnd(long nowMillis) {
    long left = lender.lentUntilMillis() - nowMillis;
    if (left > 0 && !endScheduled) {
      endScheduled = true;
      context.executor().schedule(this::onLoanEnd, left, TimeUnit.MILLISECONDS);
    }
  }

  private void onLoanEnd() {
    endScheduled = false;
    onShareAvailable.run();
  }

  /** Processes the message that a relay no longer uses this node's share. */
  void onReleased(String relay, ShareReleased released) {
    long now = context.time().monotonicMillis();
    lender.released(relay, released.getLife(), released.getSentAt(), now);
    onShareAvailable.run();
  }
}
