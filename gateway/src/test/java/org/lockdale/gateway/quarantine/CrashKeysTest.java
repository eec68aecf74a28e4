package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.Test;

/** Tests which crashes of one incarnation are told apart. */
public final class CrashKeysTest {

  private static final CrashInvolvement COUNTED = new CrashInvolvement(true, false);
  private static final CrashInvolvement CLEARED = COUNTED.asCleared();

  @Test
  public void aCrashHasTheIdOfItsBackendAsKey() {
    assertEquals(CrashKeys.latest("i@1", Map.of()), "i@1");
    assertEquals(CrashKeys.latest("i@1", Map.of("i@1", COUNTED)), "i@1");
  }

  @Test
  public void aCrashOfABackendThatWasSeenToLiveHasAnotherKey() {
    String key = CrashKeys.next("i@1", Map.of("i@1", CLEARED));
    assertEquals(key, "i@1#1");
    assertEquals(CrashKeys.backendOf(key), "i@1");
    assertEquals(CrashKeys.latest("i@1", Map.of("i@1", CLEARED, key, COUNTED)), key);
    assertEquals(CrashKeys.next("i@1", Map.of("i@1", CLEARED, key, CLEARED)), "i@1#2");
  }

  /** A connection to a living server may break any number of times. */
  @Test
  public void fewCrashesOfABackendAreToldApart() {
    Map<String, CrashInvolvement> crashes = new TreeMap<>();
    for (int number = 0; number < 100; number++) {
      crashes.put(CrashKeys.next("i@1", crashes), CLEARED);
    }
    assertEquals(crashes.size(), 4);
  }

  @Test
  public void allCrashesOfABackendThatLivesAreTakenBack() {
    Map<String, CrashInvolvement> crashes =
        Map.of("i@1", CLEARED, "i@1#1", COUNTED, CrashKeys.ofNextIncarnation("i@1"), COUNTED);
    assertEquals(CrashKeys.allOf("i@1", crashes), List.of("i@1", "i@1#1", "i@1#next"));
    assertEquals(CrashKeys.backendsOf(crashes.keySet()), Set.of("i@1"));
  }

  @Test
  public void aBackendWithoutAStartTimeHasOneKey() {
    assertEquals(CrashKeys.next("i", Map.of("i", CLEARED)), "i");
    assertEquals(CrashKeys.backendOf("i#1"), "i#1", "an id may contain the separator");
  }
}
