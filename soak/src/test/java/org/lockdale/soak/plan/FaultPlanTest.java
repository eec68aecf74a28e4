package org.lockdale.soak.plan;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * Checks that plans are reproducible, leave time without faults, and contain all kinds of fault.
 */
public final class FaultPlanTest {

  private static final long MINUTE_MILLIS = 60_000;

  private static FaultPlan draw(long seed) {
    return FaultPlan.draw(seed, MINUTE_MILLIS, Deployment.small());
  }

  @Test
  public void theSameSeedGivesTheSamePlan() {
    assertEquals(draw(7), draw(7));
    assertNotEquals(draw(7).faults(), draw(8).faults());
  }

  @Test
  public void faultsComeInOrderAndLeaveTheEndsQuiet() {
    LongStream.range(0, 50)
        .mapToObj(FaultPlanTest::draw)
        .forEach(
            plan -> {
              long previous = 3_000;
              for (PlannedFault fault : plan.faults()) {
                assertTrue(fault.atMillis() >= previous);
                assertTrue(fault.atMillis() < MINUTE_MILLIS - 12_000);
                previous = fault.atMillis();
              }
            });
  }

  @Test
  public void fiftySeedsContainEveryKindOfFault() {
    Set<Object> kinds =
        LongStream.range(0, 50)
            .mapToObj(FaultPlanTest::draw)
            .flatMap(plan -> plan.faults().stream())
            .map(fault -> kindOf(fault.fault()))
            .collect(Collectors.toSet());
    assertTrue(kinds.containsAll(Set.of(Fault.LinkTrouble.values())));
    assertTrue(kinds.containsAll(Set.of(Fault.StoreTrouble.values())));
    assertTrue(kinds.containsAll(Set.of(Fault.ProcessTrouble.values())));
    assertTrue(kinds.containsAll(Set.of(Fault.OperatorChange.values())));
    assertTrue(kinds.containsAll(Set.of(true, false)));
    assertTrue(
        kinds.containsAll(
            Set.of(Fault.RateNamed.class, Fault.LeavingSaid.class, Fault.RestWanted.class)));
  }

  private static Object kindOf(Fault fault) {
    if (fault instanceof Fault.OnLink onLink) {
      return onLink.trouble();
    }
    if (fault instanceof Fault.OnStore onStore) {
      return onStore.trouble();
    }
    if (fault instanceof Fault.OnProcess onProcess) {
      return onProcess.trouble();
    }
    if (fault instanceof Fault.ByOperator byOperator) {
      return byOperator.change();
    }
    if (fault instanceof Fault.ForeignEntry entry) {
      return entry.value();
    }
    return fault instanceof Fault.ServerReplaced replaced ? replaced.announced() : fault.getClass();
  }
}
