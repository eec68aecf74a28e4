package org.lockdale.emulator.load;

import org.apache.commons.rng.UniformRandomProvider;

/** A source of requests; the same seed gives the same requests. */
public interface Workload {

  /** Returns the name, as in {@code --workload}. */
  String name();

  /** Returns requests a second at which the example deployment is at a moderate load. */
  double moderateRate();

  /**
   * Returns the next request.
   *
   * @param random source of all choices
   * @param number counted from 0, makes the request's own part unique
   */
  PlannedRequest next(UniformRandomProvider random, long number);
}
