package org.lockdale.gateway.placement;

import static org.testng.Assert.assertEquals;

import org.lockdale.gateway.backend.RemoteLoads;
import org.lockdale.gateway.backend.TrackedBackend;

/** Checks the contract of selectors for the one that counts waiting tokens. */
public final class BackendChooserTest extends BackendSelectorContract {

  @Override
  BackendSelector create(RemoteLoads loads) {
    return new BackendChooser(loads);
  }

  @Override
  int busyTokens() {
    return 12_000;
  }

  @Override
  void makeBusy(TrackedBackend backend) {
    backend.load().open(0, 0);
  }

  @Override
  void fill(TrackedBackend engine) {
    engine.load().open(10_000, 10_000);
  }

  @Override
  void checkSets(int enginesForShort, int enginesForLong) {
    assertEquals(enginesForShort, 2);
    assertEquals(enginesForLong, 6);
  }
}
