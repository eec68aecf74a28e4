package org.lockdale.gateway.limit;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides when a node lends its share of the tenants' limits to a relay. A share is never lent
 * twice for the same time: a loan ends a fixed time after the heartbeat that it answers was sent,
 * by the borrower's clock, and the node lends to another borrower only when that time has passed
 * since it heard the heartbeat, or when the former one has given the share back. Without I/O; time
 * is injected; not safe for use by several threads.
 */
public final class ShareLender {

  /**
   * How long a loan lasts, from when the answered heartbeat was sent. Heartbeats come every 500 ms,
   * so one may be late; a longer term would leave a successor without shares for longer.
   */
  public static final long TERM_MILLIS = 900;

  /**
   * A heartbeat of a relay.
   *
   * @param relay id of the relay
   * @param life tells the lives of the relay's process apart
   * @param sentAtMillis the relay's clock when it was sent
   * @param heardAtMillis this node's clock when it was heard
   */
  public record Heartbeat(String relay, long life, long sentAtMillis, long heardAtMillis) {}

  private @Nullable Heartbeat lent;
  private long lentUntilMillis;

  /**
   * Creates the lender of a node that has just started: what an earlier life of it lent may still
   * hold.
   *
   * @param startedAtMillis monotonic time at which the process began; its earlier life had ended by
   *     then, and on a slow machine much of the term has passed before the first loan is asked for
   */
  public ShareLender(long startedAtMillis) {
    this.lentUntilMillis = startedAtMillis + TERM_MILLIS;
  }

  /**
   * Lends to a relay if that may be done now.
   *
   * @param heartbeat latest heartbeat of the relay
   * @param nowMillis monotonic time
   * @return whether the share is lent, until a fixed time after the heartbeat
   */
  public boolean lend(Heartbeat heartbeat, long nowMillis) {
    boolean old = nowMillis - heartbeat.heardAtMillis() >= TERM_MILLIS;
    boolean lentElsewhere = !isLentTo(heartbeat.relay()) && nowMillis < lentUntilMillis;
    if (old || lentElsewhere) {
      return false;
    }
    lent = heartbeat;
    lentUntilMillis = Math.max(lentUntilMillis, heartbeat.heardAtMillis() + TERM_MILLIS);
    return true;
  }

  private boolean isLentTo(String relay) {
    Heartbeat latest = lent;
    return latest != null && latest.relay().equals(relay);
  }

  /**
   * Returns the heartbeat of the latest loan where that is to be recalled for another relay.
   *
   * @param relay the relay to lend to
   * @param nowMillis monotonic time
   */
  public Optional<Heartbeat> recall(String relay, long nowMillis) {
    return isLentTo(relay) || nowMillis >= lentUntilMillis
        ? Optional.empty()
        : Optional.ofNullable(lent);
  }

  /** Takes in that a relay no longer uses the share of a loan. */
  public void released(String relay, long life, long sentAtMillis, long nowMillis) {
    Heartbeat latest = lent;
    if (latest != null
        && latest.relay().equals(relay)
        && latest.life() == life
        && latest.sentAtMillis() == sentAtMillis) {
      lent = null;
      lentUntilMillis = Math.min(lentUntilMillis, nowMillis);
    }
  }

  /** Returns when the latest loan ends. */
  public long lentUntilMillis() {
    return lentUntilMillis;
  }
}
