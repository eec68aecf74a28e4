package org.lockdale.emulator.load;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Samples indexes from a Zipf distribution: the probability of index {@code i} is proportional to
 * {@code (i + 1)} to the power of the negative exponent.
 */
final class ZipfSampler {

  private final double[] cumulative;

  /**
   * Creates a sampler.
   *
   * @param size number of indexes
   * @param exponent exponent of the distribution
   */
  ZipfSampler(int size, double exponent) {
    cumulative = new double[size];
    double sum = 0;
    for (int rank = 0; rank < size; rank++) {
      sum += 1 / Math.pow(rank + 1.0, exponent);
      cumulative[rank] = sum;
    }
    for (int rank = 0; rank < size; rank++) {
      cumulative[rank] /= sum;
    }
  }

  /** Returns an index from 0 (most frequent) to {@code size - 1}. */
  int next(UniformRandomProvider random) {
    double value = random.nextDouble();
    int rank = 0;
    while (rank < cumulative.length - 1 && cumulative[rank] < value) {
      rank++;
    }
    return rank;
  }
}
