package org.lockdale.gateway.request;

/** Receives what the attempts of one request show about their backends and about the request. */
interface AttemptReports {

  /**
   * Returns whether the request must not be sent, since it or a part of its prompt crashes
   * backends. Must be called just before each attempt, as it uses up the permit of a trial.
   */
  boolean isQuarantined();

  /** Returns whether a part of the prompt is suspected of crashing backends. */
  boolean isSuspected();

  /** Reports an attempt that is sent next. */
  void onSending(RunningAttempt attempt);

  /** Reports the result of an attempt. */
  void onConcluded(RunningAttempt attempt, AttemptResult result);

  /** Reports a complete successful response. */
  void onAnswered(RunningAttempt attempt);

  /** Reports that a backend goes on although it has begun to respond to the request. */
  void onOutlived(RunningAttempt attempt);

  /** Reports an attempt that was cancelled because nothing was received for too long. */
  void onLeftSilent(RunningAttempt attempt);

  /** Reports a sent attempt that was cancelled at the deadline of the request. */
  void onTimedOut(RunningAttempt attempt);

  /**
   * Reports an attempt that was cancelled because the caller has left.
   *
   * @param sent whether the backend may have received the request
   */
  void onCallerLeft(RunningAttempt attempt, boolean sent);

  /** Reports that the request has its final outcome. */
  void onRequestEnded();
}
