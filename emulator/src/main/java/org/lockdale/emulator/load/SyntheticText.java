package org.lockdale.emulator.load;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.lockdale.coordination.placement.Rendezvous;

/** Generates text that is determined by a name. */
final class SyntheticText {

  private static final String[] WORDS = {
    "card", "balance", "store", "rule", "expiry", "region", "limit", "refund", "till", "member",
    "lock", "canal", "boat", "deposit", "mooring", "season", "skipper", "charter", "house", "fee"
  };

  private SyntheticText() {}

  /** Returns the text for a name, of the given number of bytes or slightly more. */
  static String of(String name, int bytes) {
    UniformRandomProvider random =
        RandomSource.XO_RO_SHI_RO_128_PP.create(Rendezvous.identityOf(name));
    StringBuilder text = new StringBuilder(bytes + 16).append(name).append(':');
    while (text.length() < bytes) {
      text.append(' ').append(WORDS[random.nextInt(WORDS.length)]).append(random.nextInt(100));
    }
    return text.toString();
  }
}
