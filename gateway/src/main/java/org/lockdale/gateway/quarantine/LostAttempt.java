package org.lockdale.gateway.quarantine;

import java.net.InetSocketAddress;
import org.lockdale.gateway.caller.CallerRequest;

/**
 * An attempt that ended without an indication from the backend: its connection was closed or became
 * silent, or this node gave it up.
 *
 * @param backend id of the backend's incarnation
 * @param address address of the backend
 * @param request the request
 * @param caller name of the tenant, or the key where there is none
 * @param responseMillis time in milliseconds for which its response had been arriving; 0 if it had
 *     not started
 * @param loss how it ended
 * @param connectedAtMillis monotonic time at which the connection that carried it was established
 * @param responded whether a response of the server had begun to arrive
 * @param silentMillis time in milliseconds before the loss in which nothing had arrived, of the
 *     time for which its response had been arriving; a close may be read late
 */
public record LostAttempt(
    String backend,
    InetSocketAddress address,
    CallerRequest request,
    String caller,
    long responseMillis,
    Loss loss,
    long connectedAtMillis,
    boolean responded,
    long silentMillis) {

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** How an attempt ended. */
  public enum Loss {
    /** The connection was closed by the backend's side, as by a process that terminates. */
    CLOSED,
    /** Nothing arrived for too long, as from an overloaded backend. */
    SILENT,
    /**
     * This node gave it up because its caller disconnected or its deadline passed, so what became
     * of its connection was not observed.
     */
    GIVEN_UP
  }

  /**
   * Returns the attempt as one that ran on another incarnation of its server. Its outcome there
   * can't be observed, since this node closed the connection; so it counts as closed until that
   * incarnation is known to be alive.
   */
  LostAttempt closedOn(String incarnation) {
    return on(incarnation, Loss.CLOSED);
  }

  /**
   * Returns the attempt as one that ran on another incarnation of its server and that this node
   * gave up.
   */
  LostAttempt givenUpOn(String incarnation) {
    return on(incarnation, Loss.GIVEN_UP);
  }

  private LostAttempt on(String incarnation, Loss newLoss) {
    return new LostAttempt(
        incarnation,
        address,
        request,
        caller,
        responseMillis,
        newLoss,
        connectedAtMillis,
        responded,
        silentMillis);
  }

  /**
   * Returns the attempt as one that reached the incarnation that it was meant for, whenever it
   * connected.
   */
  LostAttempt onIntendedIncarnation() {
    return new LostAttempt(
        backend, address, request, caller, responseMillis, loss, NEVER, responded, silentMillis);
  }

  /** Returns whether its connection was closed by the backend's side. */
  boolean isClosed() {
    return loss == Loss.CLOSED;
  }

  /** Returns for how long its response had been arriving when the last of it arrived. */
  long arrivedMillis() {
    return responseMillis - silentMillis;
  }

  /**
   * Returns whether an attempt that reached a later incarnation than intended shows that this one
   * crashed: it had begun to respond when the connection was closed.
   */
  boolean showsCrashOfNextIncarnation() {
    return isClosed() && responded;
  }

  /** Returns whether this node gave it up. */
  boolean isGivenUp() {
    return loss == Loss.GIVEN_UP;
  }
}
