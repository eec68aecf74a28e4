package org.lockdale.gateway.request;

import org.jspecify.annotations.Nullable;
import org.lockdale.gateway.backend.AttemptPlan;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.quarantine.LostAttempt;
import org.lockdale.http.HttpReply;

/** An attempt at one backend, as the execution of its request sees it. */
interface RunningAttempt {

  /** Sends the request. The attempt may end before this method returns. */
  void start();

  /**
   * Cancels the attempt without reporting a result.
   *
   * @return whether the backend may have received the request
   */
  boolean cancel();

  /**
   * Abandons an attempt whose response has not started, and reports it as failed: the backend may
   * have received the request.
   */
  void abandonWaiting(String reason);

  /** Sets an action that is run, on any thread, while all nodes find the engine silent. */
  void onEngineSilent(Runnable action);

  /** Returns whether no event of the response was received yet. */
  boolean isWaiting();

  /** Returns the time since anything was received from the backend, in milliseconds. */
  long silentMillis();

  /** Returns whether this attempt was ever held up by its caller or by a lack of memory. */
  boolean wasHeldUp();

  /** Returns how the response was lost; null if it was not. */
  LostAttempt.@Nullable Loss loss();

  /** Returns whether a response of the server that it was meant for had begun to arrive. */
  boolean responded();

  /** Returns for how long the response has been arriving, in milliseconds. */
  long responseMillis();

  /** Returns for how much of {@link #responseMillis} nothing has arrived, in milliseconds. */
  long responseSilentMillis();

  /** Returns the monotonic time at which its connection was established, in milliseconds. */
  long connectedAtMillis();

  /** Returns the local port of its connection; 0 while it has none. */
  int connection();

  TrackedBackend target();

  AttemptPlan plan();

  /** Returns the reason of the failure for messages; empty if there is none. */
  String failure();

  /** Returns the complete failure response of the backend, or null if there is none. */
  @Nullable HttpReply backendFailureReply();
}
