package org.lockdale.gateway.placement;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.lockdale.gateway.backend.RemoteLoads;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.capacity.EngineCapacities;

/** Checks the contract of selectors for the one that estimates times. */
public final class TimeSelectorTest extends BackendSelectorContract {

  static TimeSelector selector(RemoteLoads loads, EngineCapacities capacities) {
    return new TimeSelector(loads, capacities, name -> Optional.empty());
  }

  @Override
  BackendSelector create(RemoteLoads loads) {
    return selector(loads, EngineCapacities.UNKNOWN);
  }

  @Override
  int busyTokens() {
    return 18_000;
  }

  @Override
  void makeBusy(TrackedBackend backend) {
    for (int slot = 0; slot < backend.backend().slots(); slot++) {
      backend.load().open(0, 0);
    }
  }

  @Override
  void fill(TrackedBackend engine) {
    for (int waiting = 0; waiting < 2 * engine.backend().slots(); waiting++) {
      engine.load().open(400, 400);
    }
  }

  @Override
  void checkSets(int enginesForShort, int enginesForLong) {
    assertEquals(enginesForShort + enginesForLong, 8);
  }
}
