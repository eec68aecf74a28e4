package org.lockdale.gateway.quarantine;

import java.net.InetSocketAddress;
import org.lockdale.gateway.caller.CallerRequest;

/**
 * An attempt that ended without the back end's word: its connection closed or fell silent, or this
 * node gave it up.
 *
 * @param backend id of the back end's incarnation
 * @param address where it was reached
 * @param request the request
 * @param caller name of the tenant, or the key where there is none
 * @param answerMillis how long its answer had been coming, in milliseconds; 0 before its begin
 * @param loss how it ended
 */
public record LostAttempt(
    String backend,
    InetSocketAddress address,
    CallerRequest request,
    String caller,
    long answerMillis,
    Loss loss) {

  /** How an attempt ended. */
  public enum Loss {
    /** The connection was closed from the back end's side, as by a process that ends. */
    CLOSED,
    /** Nothing came for too long, as from a back end that is overloaded. */
    SILENT,
    /**
     * This node gave it up, since its caller left or its time ran out, so nobody saw what became of
     * its connection.
     */
    GIVEN_UP
  }

  /**
   * Returns the attempt as one that ran at another life of its server. Nobody sees what becomes of
   * it there, since this node cut it; so it counts as closed until that life is heard.
   */
  LostAttempt closedAt(String life) {
    return new LostAttempt(life, address, request, caller, answerMillis, Loss.CLOSED);
  }

  /** Returns whether its connection was closed from the back end's side. */
  boolean isClosed() {
    return loss == Loss.CLOSED;
  }

  /** Returns whether this node gave it up. */
  boolean isGivenUp() {
    return loss == Loss.GIVEN_UP;
  }
}
