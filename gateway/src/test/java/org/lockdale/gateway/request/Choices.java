package org.lockdale.gateway.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Decides which of several possible things happens next in a simulation. */
interface Choices {

  /** Returns a number from 0 to below the bound. */
  int next(int bound);

  /**
   * Returns a number from 0 to below the sum of two bounds.
   *
   * @param usual number of possibilities that let a request go on
   * @param rare number of possibilities that come after them and should seldom be chosen
   */
  default int next(int usual, int rare) {
    return next(usual + rare);
  }

  /** Chooses by a seed. */
  static Choices ofSeed(long seed) {
    return new Seeded(new Random(seed));
  }

  /** Chooses at random, so that most requests go on for a while. */
  record Seeded(Random random) implements Choices {

    private static final int USUAL_TO_RARE = 8;

    @Override
    public int next(int bound) {
      return random.nextInt(bound);
    }

    @Override
    public int next(int usual, int rare) {
      return rare > 0 && random.nextInt(USUAL_TO_RARE) == 0
          ? usual + random.nextInt(rare)
          : random.nextInt(usual);
    }
  }

  /** Goes through all sequences of choices of a length; later choices are the first possibility. */
  final class All implements Choices {

    private final int length;
    private final List<Integer> chosen = new ArrayList<>();
    private final List<Integer> bounds = new ArrayList<>();
    private int position;

    All(int length) {
      this.length = length;
    }

    @Override
    public int next(int bound) {
      if (position == length) {
        return 0;
      }
      if (position == chosen.size()) {
        chosen.add(0);
        bounds.add(bound);
      }
      return chosen.get(position++);
    }

    /**
     * Goes to the next sequence.
     *
     * @return false if there is none
     */
    boolean advance() {
      position = 0;
      int last = chosen.size() - 1;
      while (last >= 0 && chosen.get(last) + 1 == bounds.get(last)) {
        chosen.remove(last);
        bounds.remove(last);
        last--;
      }
      if (last < 0) {
        return false;
      }
      chosen.set(last, chosen.get(last) + 1);
      return true;
    }

    @Override
    public String toString() {
      return chosen.toString();
    }
  }
}
