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

/** Which requests are held back, by the ends that they were part of. */
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
    Map<String, SuspectEnd> ends = new HashMap<>();
    for (String backend : backends) {
      ends.put(backend, new SuspectEnd(early, false));
    }
    return new Suspect(fingerprint(number), number, ends);
  }

  private boolean ended(int number, boolean early, String... backends) {
    return ledger.merge(suspect(number, early, backends), 0);
  }

  private Set<Long> held() {
    return ledger.quarantined().stream()
        .map(request -> request.fingerprint().low())
        .collect(Collectors.toSet());
  }

  @Test
  public void aRequestIsHeldBackFromItsThirdEndOn() {
    ended(1, true, "a", "b");
    assertEquals(held(), Set.of());
    ended(1, true, "c");
    assertEquals(held(), Set.of(1L));
  }

  @Test
  public void severalNodesThatSawTheSameEndCountItOnce() {
    assertTrue(ended(1, true, "a"));
    assertFalse(ended(1, true, "a"));
    ended(1, true, "b");
    ended(1, true, "b");
    assertEquals(held(), Set.of());
  }

  @Test
  public void anAnswerThatHadBeenComingForLongCountsLess() {
    ended(1, false, "a", "b", "c", "d");
    assertEquals(held(), Set.of());
    ended(1, false, "e");
    assertEquals(held(), Set.of(1L));
  }

  @Test
  public void aGoodAnswerClearsIt() {
    ended(1, true, "a", "b");
    assertTrue(ledger.forgive(fingerprint(1)).isPresent());
    ended(1, true, "c", "d");
    assertEquals(held(), Set.of());
    ended(1, true, "e");
    assertEquals(held(), Set.of(1L));
  }

  @Test
  public void whatWasForgivenStaysSoWhenSomebodyWhoDoesNotKnowTellsItAgain() {
    ended(1, true, "a", "b");
    ledger.forgive(fingerprint(1));
    ended(1, true, "a", "b");
    assertEquals(ledger.find(fingerprint(1)).orElseThrow().weight(), 0);
  }

  @Test
  public void neighboursOfTheCauseAtOneOrTwoEndsAreNotHeldBackWithIt() {
    ended(1, true, "a", "b", "c");
    ended(2, true, "a", "b");
    assertEquals(held(), Set.of(1L));
  }

  @Test
  public void requestsThatWereAlwaysTogetherAreHeldBackTogether() {
    ended(1, true, "a", "b", "c");
    ended(2, true, "a", "b", "c");
    assertEquals(held(), Set.of(1L, 2L));
  }

  @Test
  public void theEndOfABackendThatLivesSpeaksAgainstNobody() {
    ended(1, true, "a", "b", "c");
    ended(2, true, "c");
    assertEquals(ledger.recordAlive("c", LATER_MILLIS).size(), 2);
    assertEquals(held(), Set.of());
    assertTrue(ledger.recordAlive("c", LATER_MILLIS).isEmpty());
  }

  /** A life that was seen before its end was learned may have ended since. */
  @Test
  public void anEndThatWasLearnedAfterTheLifeWasSeenStays() {
    ended(1, true, "a", "b", "c");
    assertTrue(ledger.recordAlive("c", 0).isEmpty());
    assertEquals(held(), Set.of(1L));
  }

  @Test
  public void afterItsTimeItMayBeTriedOnceMore() {
    ended(1, true, "a", "b", "c", "d");
    assertTrue(ledger.expire(HOLD_MILLIS).isEmpty());
    assertEquals(held(), Set.of(1L));
    assertEquals(ledger.expire(HOLD_MILLIS + 1).size(), 1);
    assertEquals(held(), Set.of());
    ledger.merge(suspect(1, true, "e"), HOLD_MILLIS + 2);
    assertEquals(held(), Set.of(1L));
  }

  @Test
  public void whatIsNotHeldBackIsForgottenAfterThatTime() {
    ended(1, true, "a", "b");
    ledger.expire(HOLD_MILLIS + 1);
    assertTrue(ledger.all().isEmpty());
  }

  @Test
  public void nodesThatHeardTheSameInAnyOrderComeToTheSame() {
    List<Suspect> news =
        List.of(
            suspect(1, true, "a"), suspect(1, false, "a", "b"), suspect(1, true, "c").forgive());
    SuspectLedger other = new SuspectLedger(HOLD_MILLIS);
    news.forEach(suspect -> ledger.merge(suspect, 0));
    for (int index = news.size() - 1; index >= 0; index--) {
      other.merge(news.get(index), 0);
    }
    assertEquals(other.all(), ledger.all());
  }

  @Test
  public void memoryIsBoundedAndTheHeaviestStay() {
    ended(1, true, "a", "b", "c");
    for (int number = 2; number < 5_000; number++) {
      ended(number, true, "a");
    }
    assertEquals(ledger.all().size(), 1_024);
    assertEquals(held(), Set.of(1L));
  }

  @Test
  public void messagesAreReadAsTheyWereWritten() {
    Suspect suspect = suspect(1, true, "a", "b").merge(suspect(1, false, "c").forgive());
    assertEquals(SuspectMessages.read(SuspectMessages.write(suspect)), suspect);
  }

  @Test
  public void whileServersEndUnderManyRequestsItTakesMoreEnds() {
    for (int number = 1; number <= 32; number++) {
      ended(number, true, "a", "b", "c");
    }
    assertEquals(held().size(), 32);
    ended(33, true, "a", "b", "c");
    assertEquals(held(), Set.of());
    ended(33, true, "d", "e");
    assertEquals(held(), Set.of(33L));
  }
}
