package org.lockdale.emulator.load;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Workload of a gift card cooperative: short, urgent balance checks, redemptions that must run at
 * most once, and dispute drafts that are not urgent. Prompts share nested prefixes: a tenant's
 * policy (about 2 kB), followed by the rules of a kind of card (about 4 kB), a few of which occur
 * far more often than the others.
 */
public final class GiftCardWorkload implements Workload {

  /** Name of the model in the example deployment. */
  public static final String MODEL = "gift-llm";

  private static final String[] TENANTS = {
    "sm-malls",
    "puregold",
    "sari-luzon",
    "mercury",
    "robinsons",
    "aling-nena",
    "tiangge",
    "kapitbahay"
  };
  private static final int CARD_KINDS = 24;
  private static final int POLICY_BYTES = 2_000;
  private static final int CARD_RULE_BYTES = 4_000;
  private static final int DISPUTE_FILE_BYTES = 6_000;
  private static final double CHECK_SHARE = 0.7;
  private static final double REDEMPTION_SHARE = 0.1;
  private static final double MODERATE_RATE = 60;

  private final ZipfSampler tenants = new ZipfSampler(TENANTS.length, 1.0);
  private final ZipfSampler cards = new ZipfSampler(CARD_KINDS, 1.1);

  @Override
  public String name() {
    return "gift-cards";
  }

  @Override
  public double moderateRate() {
    return MODERATE_RATE;
  }

  @Override
  public PlannedRequest next(UniformRandomProvider random, long number) {
    String tenant = TENANTS[tenants.next(random)];
    int card = cards.next(random);
    String shared =
        SyntheticText.of("policy of " + tenant, POLICY_BYTES)
            + SyntheticText.of("card rules " + card + " of " + tenant, CARD_RULE_BYTES);
    double kind = random.nextDouble();
    if (kind < CHECK_SHARE) {
      return PlannedRequest.of(
          tenant, MODEL, "balance-check", shared, "check card number " + number, 12, null);
    }
    if (kind < CHECK_SHARE + REDEMPTION_SHARE) {
      String key = "redemption-" + number;
      return PlannedRequest.of(
          tenant, MODEL, "redemption", shared, "post redemption " + number, 16, key);
    }
    String file = SyntheticText.of("dispute file " + number, DISPUTE_FILE_BYTES);
    return PlannedRequest.of(tenant, MODEL, "dispute-draft", shared, file, 120, null);
  }
}
