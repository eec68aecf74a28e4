package org.lockdale.gateway.request;

/** What the execution of one request asks of its caller's connection and of its pool. */
interface RequestEnvironment {

  /** Runs an action, in the order of the request's tasks, if the caller disconnects. */
  void onCallerDisconnected(Runnable action);

  /** Returns whether this node has disconnected the caller because it reads too slowly. */
  boolean isCallerCutOff();

  /** Returns whether this node can't connect to the pool of the request. */
  boolean isPoolUnreachable();

  /** Returns whether a backend is left that was not tried yet. */
  boolean hasUntriedBackend();

  /** Takes a retry from the budget of the pool; false if none is left. */
  boolean tryRetry();

  /** Records that the latest retry that was taken, if any, is sent now. */
  void recordRetrySent();

  /** Returns whether requests that may run only once may still be sent to a backend. */
  boolean sendsUnrepeatable();

  /** Returns whether weights are too old for the request to start on. */
  boolean isOutdated(long weights);

  /** Records the final outcome of the request. */
  void ended(String outcome);
}
