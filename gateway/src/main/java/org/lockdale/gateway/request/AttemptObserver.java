package org.lockdale.gateway.request;

import org.lockdale.protocol.generated.AttemptVerdict;

/** Observes the progress of attempts. Called from any thread. */
public interface AttemptObserver {

  /** Called when the response to a request has started or the request has ended. */
  void workChanged();

  /**
   * Called when an attempt has ended.
   *
   * @param backend id of the backend
   * @param verdict what the attempt shows about the backend's health
   */
  void concluded(String backend, AttemptVerdict verdict);
}
