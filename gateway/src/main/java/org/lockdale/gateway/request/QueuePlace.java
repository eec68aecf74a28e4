package org.lockdale.gateway.request;

/** The place of one request in the estimated queue of its pool. */
interface QueuePlace {

  /** Returns whether a placed request is so unlikely to be served in time that it is refused. */
  boolean cannotMeetDeadline();

  /**
   * Joins the queue with an attempt that is about to be sent.
   *
   * @return to be run when the first event of the response arrives
   */
  Runnable join();

  /**
   * Leaves the queue. Has no effect if the request has left it before.
   *
   * @param served whether the backend has served the request
   */
  void leave(boolean served);
}
