package org.lockdale.gateway.limit;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides when a node lends its share of the tenants' limits to a relay node. A share is never lent
 * twice for the same time: a loan ends a fixed time after the heartbeat that it answers was sent,
 * by the borrower's clock. The node lends to another borrower only when that time has passed since
 * it received the heartbeat, or when the former borrower has released the share. Performs no I/O;
 * the time is passed in. Not thread-safe.
 */
public final class ShareLender {

  /**
   * Duration of a loan, from the sending of the answered heartbeat, in milliseconds. Heartbeats are
   * sent every 500 ms, so one may be late; a longer term would leave a successor without shares for
   * longer.
   */
  public static final long TERM_MILLIS = 900;

  /**
   * A heartbeat of a relay.
   *
   * @param relay id of the relay
   * @param incarnation incarnation of the relay's process
   * @param sentAtMillis time at which it was sent, by the relay's clock
   * @param receivedAtMillis time at which it was received, by this node's clock
   */
  public record Heartbeat(
      String relay, long incarnation, long sentAtMillis, long receivedAtMillis) {}

  private @Nullable Heartbeat lent;
  private long lentUntilMillis;

  /**
   * Creates the lender of a node that has just started. Loans of its former incarnation may still
   * be in effect, so it does not lend until they have ended.
   *
   * @param startedAtMillis monotonic time at which the process started; its former incarnation had
   *     ended by then. The term is counted from this time, since on a slow machine much of it has
   *     passed before the first loan is requested
   */
  public ShareLender(long startedAtMillis) {
    this.lentUntilMillis = startedAtMillis + TERM_MILLIS;
  }

  /**
   * Lends the share to a relay if this is allowed now.
   *
   * @param heartbeat latest heartbeat of the relay
   * @param nowMillis monotonic time
   * @return whether the share is lent, until a fixed time after the heartbeat
   */
  public boolean lend(Heartbeat heartbeat, long nowMillis) {
    boolean isExpired = nowMillis - heartbeat.receivedAtMillis() >= TERM_MILLIS;
    boolean lentElsewhere = !isLentTo(heartbeat.relay()) && nowMillis < lentUntilMillis;
    if (isExpired || lentElsewhere) {
      return false;
    }
    lent = heartbeat;
    lentUntilMillis = Math.max(lentUntilMillis, heartbeat.receivedAtMillis() + TERM_MILLIS);
    return true;
  }

  private boolean isLentTo(String relay) {
    Heartbeat latest = lent;
    return latest != null && latest.relay().equals(relay);
  }

  /**
   * Returns the heartbeat of the latest loan if that loan must be recalled first in order to lend
   * to another relay, or empty otherwise.
   *
   * @param relay the relay to lend to
   * @param nowMillis monotonic time
   */
  public Optional<Heartbeat> recall(String relay, long nowMillis) {
    return isLentTo(relay) || nowMillis >= lentUntilMillis
        ? Optional.empty()
        : Optional.ofNullable(lent);
  }

  /**
   * Processes the confirmation that a relay no longer uses the share of a loan. Ignored if it is
   * not about the latest loan.
   */
  public void released(String relay, long incarnation, long sentAtMillis, long nowMillis) {
    Heartbeat latest = lent;
    if (latest != null
        && latest.relay().equals(relay)
        && latest.incarnation() == incarnation
        && latest.sentAtMillis() == sentAtMillis) {
      lent = null;
      lentUntilMillis = Math.min(lentUntilMillis, nowMillis);
    }
  }

  /** Returns the monotonic time at which the latest loan ends. */
  public long lentUntilMillis() {
    return lentUntilMillis;
  }
}
