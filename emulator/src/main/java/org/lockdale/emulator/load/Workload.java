package org.lockdale.emulator.load;

import org.apache.commons.rng.UniformRandomProvider;

/** A source of requests; the same seed gives the same requests. */
public interface Workload {

  /** Returns the name, which the option {@code --workload} takes. */
  String name();

  /** Returns the rate in requests a second that loads the example deployment moderately. */
  double moderateRate();

  /**
   * Returns the next request.
   *
   * @param random source of all random choices
   * @param number number of the request, counted from 0; makes its user prompt unique
   */
  PlannedRequest next(UniformRandomProvider random, long number);
}
