package org.lockdale.gateway.cluster;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Simulated nodes together stay within the rates that backends advertise while requests reach the
 * backends late, the backends' records are missing, or all nodes restart in turn.
 */
public final class RateDelaySimulationTest {

  private static final int SEEDS = Integer.getInteger("lockdale.rate.seeds", 3);
  private static final double[] RATES = {0.3, 1.5, 3.9, 12};
  private static final int BACKENDS = 13;

  /** Number of backends that advertise a rate; the others take the remaining requests. */
  private static final int LIMITED = 4;

  private static final double REQUESTS_PER_SECOND = 100;
  private static final long TRAFFIC_FROM = 6_000;
  private static final long ADVERTISED_AT = 8_000;
  private static final long FAULT_FROM = 12_000;
  private static final int FAULT_SPREAD = 4_000;
  private static final long UNTIL = 45_000;

  /** Minimum fraction of the allowed requests that is served where nothing is disrupted. */
  private static final double MIN_PASSED = 0.9;

  private enum Fault {
    BACKENDS_STALL_LONG,
    BACKENDS_STALL_AGAIN,
    ALL_LINKS_HELD,
    LINKS_OF_HALF_HELD,
    LINKS_OF_ONE_HELD_AGAIN,
    RECORDS_COME_AND_GO,
    SLOW_AND_RECORDS_COME_AND_GO,
    SLOW_AND_STALL,
    RELAY_KILLED_IN_STALL,
    MESSAGES_LOST_IN_STALL,
    RATES_CHANGE_IN_STALL,
    RESTARTS_IN_TURN,
    SLOW_AND_RESTARTS_IN_TURN,
    SLOW_AND_RELAYS_RESTART,
    UNHEARD_AND_RELAYS_RESTART
  }

  private record Result(double worstExcess, double passed, double rejected) {}

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{8}, {79}, {100}};
  }

  @Test(dataProvider = "sizes")
  public void ratesAreKeptWhereRequestsArriveLateOrRecordsAreMissing(int nodes) {
    List<String> violations = new ArrayList<>();
    for (Fault fault : Fault.values()) {
      double worst = Double.NEGATIVE_INFINITY;
      double passed = 0;
      for (int seed = 0; seed < SEEDS; seed++) {
        for (double rate : RATES) {
          Result result = simulate(nodes, seed, rate, 0, fault);
          passed += result.passed() / SEEDS / RATES.length;
          worst = Math.max(worst, result.worstExcess());
          if (result.worstExcess() > 0) {
            violations.add(fault + " seed " + seed + " rate " + rate + ": " + result);
          }
        }
      }
      System.out.printf("%d nodes, %s: %.1f above, passed %.3f%n", nodes, fault, worst, passed);
    }
    assertTrue(violations.isEmpty(), violations.size() + " bounds exceeded: " + violations);
  }

  @DataProvider
  public Object[][] answerTimes() {
    return new Object[][] {{8, 100}, {8, 1_000}, {79, 100}, {79, 1_000}, {100, 100}};
  }

  @Test(dataProvider = "answerTimes")
  public void whatTheRatesAllowIsUsedHoweverLongAnswersTake(int nodes, int answerMillis) {
    for (double rate : RATES) {
      double passed = 0;
      double rejected = 0;
      for (int seed = 0; seed < SEEDS; seed++) {
        Result result = simulate(nodes, seed, rate, answerMillis, null);
        passed += result.passed() / SEEDS;
        rejected += result.rejected() / SEEDS;
        assertTrue(result.worstExcess() <= 0, result.worstExcess() + " above the bound");
      }
      System.out.printf(
          "%d nodes, rate %.1f, answers after %d ms: passed %.3f, rejected %.5f%n",
          nodes, rate, answerMillis, passed, rejected);
      assertTrue(passed >= MIN_PASSED, "passed " + passed + " at rate " + rate);
      assertTrue(rejected <= 0.001, "rejected " + rejected + " though other backends accept more");
    }
  }

  private static Result simulate(
      int nodes, long seed, double rate, long answerMillis, @Nullable Fault fault) {
    RateSimulation simulation = new RateSimulation(nodes, BACKENDS, seed);
    List<RateLimitedBackend> limited = simulation.backends.subList(0, LIMITED);
    limited.forEach(backend -> backend.serviceMillis = answerMillis);
    simulation.at(TRAFFIC_FROM, () -> simulation.generateRequests(REQUESTS_PER_SECOND, UNTIL));
    simulation.at(ADVERTISED_AT, () -> limited.forEach(b -> b.advertise(rate, ADVERTISED_AT)));
    if (fault != null) {
      long at = FAULT_FROM + simulation.random.nextInt(FAULT_SPREAD);
      simulation.at(at, () -> inject(simulation, limited, rate, fault));
    }
    simulation.run(UNTIL);
    double worst = Double.NEGATIVE_INFINITY;
    double allowed = 0;
    double served = 0;
    for (RateLimitedBackend backend : simulation.backends) {
      worst = Math.max(worst, backend.worstExcess());
      allowed += backend.allowed();
      served += backend.served();
    }
    return new Result(
        worst, served / allowed, (double) simulation.rejected / simulation.arrivedRequests);
  }

  private static void inject(
      RateSimulation simulation, List<RateLimitedBackend> limited, double rate, Fault fault) {
    long now = simulation.time.monotonicMillis();
    List<RateSimulationNode> nodes = simulation.nodes;
    switch (fault) {
      case BACKENDS_STALL_LONG -> stall(limited, now + 8_000);
      case BACKENDS_STALL_AGAIN -> stallAgain(simulation, limited, 4);
      case ALL_LINKS_HELD -> nodes.forEach(node -> holdLinks(node, now + 6_000));
      case LINKS_OF_HALF_HELD ->
          nodes.subList(0, nodes.size() / 2).forEach(node -> holdLinks(node, now + 7_000));
      case LINKS_OF_ONE_HELD_AGAIN -> holdAgain(simulation, 5);
      case RECORDS_COME_AND_GO -> toggleRecords(simulation, limited, 16);
      case SLOW_AND_RECORDS_COME_AND_GO -> {
        limited.forEach(backend -> backend.serviceMillis = 3_000);
        toggleRecords(simulation, limited, 16);
      }
      case SLOW_AND_STALL -> {
        limited.forEach(backend -> backend.serviceMillis = 3_000);
        stallAgain(simulation, limited, 4);
      }
      case RELAY_KILLED_IN_STALL -> {
        stall(limited, now + 6_000);
        simulation.after(2_500, () -> simulation.coordinator().restartAfter(3_500));
      }
      case MESSAGES_LOST_IN_STALL -> {
        simulation.oneLostIn = 5;
        stallAgain(simulation, limited, 3);
      }
      case RATES_CHANGE_IN_STALL -> {
        stall(limited, now + 5_000);
        simulation.after(
            2_000,
            () -> limited.forEach(b -> b.advertise(rate / 3, simulation.time.monotonicMillis())));
      }
      case RESTARTS_IN_TURN -> restartInTurn(simulation, 20_000);
      case SLOW_AND_RESTARTS_IN_TURN -> {
        limited.forEach(backend -> backend.serviceMillis = 3_000);
        restartInTurn(simulation, 12_000);
      }
      case SLOW_AND_RELAYS_RESTART -> {
        limited.forEach(backend -> backend.serviceMillis = 3_000);
        restartRelays(simulation, 6);
      }
      case UNHEARD_AND_RELAYS_RESTART -> {
        limited.forEach(backend -> backend.serviceMillis = 1_500);
        limited.subList(1, LIMITED).forEach(backend -> backend.recorded = false);
        simulation.after(16_000, () -> limited.forEach(backend -> backend.recorded = true));
        simulation.after(15_500, () -> restartRelays(simulation, 3));
      }
      default -> throw new AssertionError(fault);
    }
  }

  private static void stall(List<RateLimitedBackend> limited, long untilMillis) {
    limited.forEach(backend -> backend.stalledUntilMillis = untilMillis);
  }

  private static void stallAgain(
      RateSimulation simulation, List<RateLimitedBackend> limited, int times) {
    if (times > 0) {
      stall(limited, simulation.time.monotonicMillis() + 3_000);
      simulation.after(4_500, () -> stallAgain(simulation, limited, times - 1));
    }
  }

  private static void restartInTurn(RateSimulation simulation, long withinMillis) {
    List<RateSimulationNode> nodes = simulation.nodes;
    for (int index = 0; index < nodes.size(); index++) {
      RateSimulationNode node = nodes.get(index);
      simulation.after(index * withinMillis / nodes.size(), () -> node.restartAfter(600));
    }
  }

  /** Restarts the relay that places requests, some times with a second in between. */
  private static void restartRelays(RateSimulation simulation, int times) {
    if (times > 0) {
      simulation.coordinator().restartAfter(100);
      simulation.after(1_000, () -> restartRelays(simulation, times - 1));
    }
  }

  private static void holdLinks(RateSimulationNode node, long untilMillis) {
    node.requests().linksHeldUntilMillis = untilMillis;
  }

  private static void holdAgain(RateSimulation simulation, int times) {
    if (times > 0) {
      holdLinks(simulation.nodes.get(times), simulation.time.monotonicMillis() + 5_000);
      simulation.after(3_000, () -> holdAgain(simulation, times - 1));
    }
  }

  private static void toggleRecords(
      RateSimulation simulation, List<RateLimitedBackend> limited, int times) {
    limited.forEach(backend -> backend.recorded = times % 2 == 1);
    if (times > 1) {
      simulation.after(700, () -> toggleRecords(simulation, limited, times - 1));
    }
  }
}
