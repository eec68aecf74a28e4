package org.lockdale.gateway.request;

import org.lockdale.protocol.generated.AttemptVerdict;

/** Observes the progress of attempts. Called from any thread. */
public interface AttemptObserver {

  /** Called when a request has started to be answered, or has ended. */
  void workChanged();

  /**
   * Called when an attempt has ended.
   *
   * @param backend id of the backend
   * @param verdict what the attempt shows about the backend's health
   */
  void concluded(String backend, AttemptVerdict verdict);
}
