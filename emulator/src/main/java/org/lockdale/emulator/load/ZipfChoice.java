package org.lockdale.emulator.load;

import org.apache.commons.rng.UniformRandomProvider;

/** Chooses an index with a probability that falls as a power of its rank. */
final class ZipfChoice {

  private final double[] cumulative;

  ZipfChoice(int size, double exponent) {
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

  int next(UniformRandomProvider random) {
    double value = random.nextDouble();
    int rank = 0;
    while (rank < cumulative.length - 1 && cumulative[rank] < value) {
      rank++;
    }
    return rank;
  }
}
