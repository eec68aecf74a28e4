package org.lockdale.emulator.load;

import org.apache.commons.rng.UniformRandomProvider;

/**
 * Workload of a boat booking platform: questions of holidaymakers, contract drafts, and booking
 * charges that must run at most once. Prompts share nested prefixes: a tenant's terms (2 kB),
 * followed by a lock schedule (8 kB), followed by the house rules of a boat (16 kB).
 */
public final class CanalHireWorkload implements Workload {

  /** Name of the model in the example deployment. */
  public static final String MODEL = "canal-llm";

  private static final String[] TENANTS = {
    "fes-canaux",
    "meknes-boats",
    "tanger-bleu",
    "oued-hire",
    "atlas-afloat",
    "medina-marine",
    "sebou",
    "loukkos"
  };
  private static final int SCHEDULES = 4;
  private static final int BOATS = 12;
  private static final int TERMS_BYTES = 2_000;
  private static final int SCHEDULE_BYTES = 8_000;
  private static final int HOUSE_RULES_BYTES = 16_000;
  private static final double QUESTION_SHARE = 0.75;
  private static final double CHARGE_SHARE = 0.1;
  private static final double MODERATE_RATE = 24;

  private final ZipfSampler tenants = new ZipfSampler(TENANTS.length, 0.9);
  private final ZipfSampler schedules = new ZipfSampler(SCHEDULES, 0.8);
  private final ZipfSampler boats = new ZipfSampler(BOATS, 1.0);

  @Override
  public String name() {
    return "canal-hire";
  }

  @Override
  public double moderateRate() {
    return MODERATE_RATE;
  }

  @Override
  public PlannedRequest next(UniformRandomProvider random, long number) {
    String tenant = TENANTS[tenants.next(random)];
    int schedule = schedules.next(random);
    int boat = boats.next(random);
    String shared =
        SyntheticText.of("terms of " + tenant, TERMS_BYTES)
            + SyntheticText.of("lock schedule " + schedule + " of " + tenant, SCHEDULE_BYTES)
            + SyntheticText.of(
                "house rules " + schedule + "/" + boat + " of " + tenant, HOUSE_RULES_BYTES);
    double kind = random.nextDouble();
    if (kind < QUESTION_SHARE) {
      return PlannedRequest.of(
          tenant, MODEL, "skipper-question", shared, "question " + number, 40, null);
    }
    if (kind < QUESTION_SHARE + CHARGE_SHARE) {
      String key = "charge-" + number;
      return PlannedRequest.of(
          tenant, MODEL, "booking-charge", shared, "charge booking " + number, 16, key);
    }
    return PlannedRequest.of(
        tenant, MODEL, "contract-draft", shared, "draft contract " + number, 150, null);
  }
}
