package org.lockdale.gateway.request;

import org.lockdale.protocol.generated.AttemptVerdict;

/** Told of the progress of attempts, from any thread. */
public interface AttemptObserver {

  /** A request has begun to be answered, or has ended. */
  void workChanged();

  /**
   * An attempt has ended.
   *
   * @param backend id of the back end
   * @param verdict what the attempt showed of it
   */
  void concluded(String backend, AttemptVerdict verdict);
}
