package org.lockdale.coordination.simulation;

import org.apache.commons.rng.UniformRandomProvider;

/** Delay and loss of messages between the zones of a simulated network. */
public interface LinkModel {

  /** Result for a message that is lost. */
  long LOST = -1;

  /**
   * Returns the delay of one message.
   *
   * @param fromZone zone of the sender
   * @param toZone zone of the receiver
   * @param random source of random numbers
   * @return delay in microseconds, or {@link #LOST}
   */
  long delayMicros(String fromZone, String toZone, UniformRandomProvider random);
}
