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
 * @param connectedAtMillis monotonic time at which the connection came up that carried it
 */
public record LostAttempt(
    String backend,
    InetSocketAddress address,
    CallerRequest request,
    String caller,
    long answerMillis,
    Loss loss,
    long connectedAtMillis) {

  private static final long NEVER = Long.MIN_VALUE / 2;

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
  LostAttempt closedOn(String life) {
    return at(life, Loss.CLOSED);
  }

  /** Returns the attempt as one that this node gave up at another life of its server. */
  LostAttempt givenUpOn(String life) {
    return at(life, Loss.GIVEN_UP);
  }

  private LostAttempt at(String life, Loss lossThere) {
    return new LostAttempt(
        life, address, request, caller, answerMillis, lossThere, connectedAtMillis);
  }

  /** Returns the attempt as one that reached the life that was meant, whenever it connected. */
  LostAttempt onIntendedIncarnation() {
    return new LostAttempt(backend, address, request, caller, answerMillis, loss, NEVER);
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
