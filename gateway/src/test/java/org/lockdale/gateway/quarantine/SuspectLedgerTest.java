package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which requests are quarantined, given the crashes of backends that ran them. */
public final class SuspectLedgerTest {

  private static final long HOLD_MILLIS = 60_000;
  private static final long LATER_MILLIS = 1_000;

  private SuspectLedger ledger;

  @BeforeMethod
  public void start() {
    ledger = new SuspectLedger(HOLD_MILLIS);
  }

  private static RequestFingerprint fingerprint(int number) {
    return new RequestFingerprint(number, number);
  }

  private static Suspect suspect(int number, boolean early, String... backends) {
    Map<String, CrashInvolvement> crashes = new HashMap<>();
    for (String backend : backends) {
      crashes.put(backend, new CrashInvolvement(early, false));
    }
    return new Suspect(fingerprint(number), number, crashes);
  }

  private boolean crashed(int number, boolean early, String... backends) {
    return ledger.merge(suspect(number, early, backends), 0);
  }

  private Set<Long> quarantined() {
    return ledger.quarantined().stream()
        .map(request -> request.fingerprint().low())
        .collect(Collectors.toSet());
  }

  @Test
  public void aRequestIsQuarantinedFromItsThirdCrashOn() {
    crashed(1, true, "a", "b");
    assertEquals(quarantined(), Set.of());
    crashed(1, true, "c");
    assertEquals(quarantined(), Set.of(1L));
  }

  @Test
  public void aCrashReportedBySeveralNodesCountsOnce() {
    assertTrue(crashed(1, true, "a"));
    assertFalse(crashed(1, true, "a"));
    crashed(1, true, "b");
    crashed(1, true, "b");
    assertEquals(quarantined(), Set.of());
  }

  @Test
  public void aCrashUnderALongRunningAnswerCountsLess() {
    crashed(1, false, "a", "b", "c", "d");
    assertEquals(quarantined(), Set.of());
    crashed(1, false, "e");
    assertEquals(quarantined(), Set.of(1L));
  }

  @Test
  public void aSuccessfulResponseClearsARequest() {
    crashed(1, true, "a", "b");
    assertTrue(ledger.clear(fingerprint(1)).isPresent());
    crashed(1, true, "c", "d");
    assertEquals(quarantined(), Set.of());
    crashed(1, true, "e");
    assertEquals(quarantined(), Set.of(1L));
  }

  @Test
  public void aForgivenCrashStaysForgivenWhenANodeUnawareOfItReportsItAgain() {
    crashed(1, true, "a", "b");
    ledger.clear(fingerprint(1));
    crashed(1, true, "a", "b");
    assertEquals(ledger.find(fingerprint(1)).orElseThrow().weight(), 0);
  }

  @Test
  public void requestsBesideTheCauseAtOneOrTwoCrashesAreNotQuarantined() {
    crashed(1, true, "a", "b", "c");
    crashed(2, true, "a", "b");
    assertEquals(quarantined(), Set.of(1L));
  }

  @Test
  public void requestsThatAlwaysRanTogetherAreQuarantinedTogether() {
    crashed(1, true, "a", "b", "c");
    crashed(2, true, "a", "b", "c");
    assertEquals(quarantined(), Set.of(1L, 2L));
  }

  @Test
  public void theCrashOfABackendThatIsAliveIsForgiven() {
    crashed(1, true, "a", "b", "c");
    crashed(2, true, "c");
    assertEquals(ledger.recordAlive("c", LATER_MILLIS).size(), 2);
    assertEquals(quarantined(), Set.of());
    assertTrue(ledger.recordAlive("c", LATER_MILLIS).isEmpty());
  }

  /** A backend that was alive before its crash was reported may have crashed since. */
  @Test
  public void aCrashLearnedAfterTheBackendWasLastAliveStays() {
    crashed(1, true, "a", "b", "c");
    assertTrue(ledger.recordAlive("c", 0).isEmpty());
    assertEquals(quarantined(), Set.of(1L));
  }

  @Test
  public void aRequestMayBeTriedAgainAfterItsQuarantineTime() {
    crashed(1, true, "a", "b", "c", "d");
    assertTrue(ledger.expire(HOLD_MILLIS).isEmpty());
    assertEquals(quarantined(), Set.of(1L));
    assertEquals(ledger.expire(HOLD_MILLIS + 1).size(), 1);
    assertEquals(quarantined(), Set.of());
    ledger.merge(suspect(1, true, "e"), HOLD_MILLIS + 2);
    assertEquals(quarantined(), Set.of(1L));
  }

  @Test
  public void aSuspectThatIsNotQuarantinedIsDroppedAfterThatTime() {
    crashed(1, true, "a", "b");
    ledger.expire(HOLD_MILLIS + 1);
    assertTrue(ledger.all().isEmpty());
  }

  @Test
  public void nodesThatReceiveTheSameInAnyOrderConverge() {
    List<Suspect> received =
        List.of(
            suspect(1, true, "a"),
            suspect(1, false, "a", "b"),
            suspect(1, true, "c").withAllCleared());
    SuspectLedger other = new SuspectLedger(HOLD_MILLIS);
    received.forEach(suspect -> ledger.merge(suspect, 0));
    for (int index = received.size() - 1; index >= 0; index--) {
      other.merge(received.get(index), 0);
    }
    assertEquals(other.all(), ledger.all());
  }

  @Test
  public void memoryIsBoundedAndTheHeaviestStay() {
    crashed(1, true, "a", "b", "c");
    for (int number = 2; number < 5_000; number++) {
      crashed(number, true, "a");
    }
    assertEquals(ledger.all().size(), 1_024);
    assertEquals(quarantined(), Set.of(1L));
  }

  @Test
  public void messagesAreReadAsTheyWereWritten() {
    Suspect suspect = suspect(1, true, "a", "b").merge(suspect(1, false, "c").withAllCleared());
    assertEquals(SuspectMessages.read(SuspectMessages.write(suspect)), suspect);
  }

  @Test
  public void whileServersCrashUnderManyRequestsMoreCrashesAreRequired() {
    for (int number = 1; number <= 32; number++) {
      crashed(number, true, "a", "b", "c");
    }
    assertEquals(quarantined().size(), 32);
    crashed(33, true, "a", "b", "c");
    assertEquals(quarantined(), Set.of());
    crashed(33, true, "d", "e");
    assertEquals(quarantined(), Set.of(33L));
  }
}
