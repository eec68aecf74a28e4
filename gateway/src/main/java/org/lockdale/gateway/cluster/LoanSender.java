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
 * Lends this node's share of what all nodes may do together to one relay or to this node itself: of
 * the tenants' limits, of the reserves beside them, or of the back ends' rates. Runs on one event
 * loop.
 */
final class LoanSender {

  /**
   * A relay whose heartbeat was heard.
   *
   * @param address where it is reached
   * @param heartbeat its latest heartbeat
   * @param share the shares that it had then
   */
  record Relay(InetSocketAddress address, ShareLender.Heartbeat heartbeat, double share) {}

  /**
   * Where a node finds what it needs to lend.
   *
   * @param selfId id of this node
   * @param executor runs the timers
   * @param sender sends loans and recalls to a relay
   * @param borrower takes the loans to this node itself
   * @param nodes tells the number of nodes, or 0 where it is not known yet
   * @param startedAtMillis monotonic time at which the process began
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
  private final Runnable onFree;
  private final ShareLender lender;
  private ShareLender.@Nullable Heartbeat answered;
  private @Nullable Relay borrower;
  private boolean waiting;

  /**
   * Creates a sender.
   *
   * @param context where it finds what it needs
   * @param reserve whether it lends the share of the reserves
   * @param onFree run when a share that was lent elsewhere may be lent anew
   */
  LoanSender(Context context, boolean reserve, Runnable onFree) {
    this.context = context;
    this.reserve = reserve;
    this.onFree = onFree;
    this.lender = new ShareLender(context.startedAtMillis());
  }

  /** Lends to this node itself. */
  void lendToSelf() {
    long now = context.time().monotonicMillis();
    recall(context.selfId(), now);
    ShareLender.Heartbeat heartbeat =
        new ShareLender.Heartbeat(context.selfId(), context.borrower().life(), now, now);
    int nodes = context.nodes().getAsInt();
    if (nodes > 0 && lender.lend(heartbeat, now)) {
      context.borrower().borrow(context.selfId(), loan(heartbeat, nodes));
    }
  }

  /** Lends to a relay; each heartbeat is answered once. */
  void lendTo(Relay relay) {
    ShareLender.Heartbeat heartbeat = relay.heartbeat();
    long now = context.time().monotonicMillis();
    recall(heartbeat.relay(), now);
    int nodes = context.nodes().getAsInt();
    if (nodes > 0 && !heartbeat.equals(answered) && lender.lend(heartbeat, now)) {
      answered = heartbeat;
      borrower = relay;
      context.sender().accept(relay.address(), loan(heartbeat, nodes));
    }
  }

  private ShareLoan loan(ShareLender.Heartbeat heartbeat, int nodes) {
    return new ShareLoan(heartbeat.life(), heartbeat.sentAtMillis(), 1.0 / nodes, reserve);
  }

  /** A share is free sooner where the relay that had it gives it back. */
  private void recall(String relay, long nowMillis) {
    Optional<ShareLender.Heartbeat> loan = lender.recall(relay, nowMillis);
    if (loan.isEmpty()) {
      return;
    }
    long sentAt = loan.get().sentAtMillis();
    ShareRecall recall = new ShareRecall(loan.get().life(), sentAt, reserve);
    Relay former = borrower;
    if (loan.get().relay().equals(context.selfId())) {
      context.borrower().release(context.selfId(), recall);
      lender.released(context.selfId(), loan.get().life(), sentAt, nowMillis);
    } else if (former != null) {
      context.sender().accept(former.address(), recall);
    }
    awaitEnd(nowMillis);
  }

  private void awaitEnd(long nowMillis) {
    long left = lender.lentUntilMillis() - nowMillis;
    if (left > 0 && !waiting) {
      waiting = true;
      context.executor().schedule(this::ended, left, TimeUnit.MILLISECONDS);
    }
  }

  private void ended() {
    waiting = false;
    onFree.run();
  }

  /** Takes in that a relay no longer uses this node's share. */
  void released(String relay, ShareReleased released) {
    long now = context.time().monotonicMillis();
    lender.released(relay, released.getLife(), released.getSentAt(), now);
    onFree.run();
  }
}
