package org.lockdale.gateway.quarantine.part;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which prompt parts the ledger holds back. */
public final class PartLedgerTest {

  private static final int CALLER = 7;
  private static final int OTHER_CALLER = 8;
  private static final long HOLD_MILLIS = 3_600_000;
  private static final PromptPartKey FIRST = new PromptPartKey("model", "first");
  private static final PromptPartKey SECOND = new PromptPartKey("model", "second");
  private static final PromptPartKey THIRD = new PromptPartKey("model", "third");

  private PartLedger ledger;
  private long now;
  private int crashes;

  @BeforeMethod
  public void create() {
    ledger = new PartLedger(HOLD_MILLIS);
    now = 1_000;
    crashes = 0;
  }

  private void crash(PromptPartKey... parts) {
    now += 500;
    crashes++;
    ledger.recordCrash(List.of(parts), CALLER, crashes, "i-" + crashes + "@1", now);
  }

  private Set<PromptPartKey> decide() {
    ledger.decide(now, 0, Map.of());
    return held(ledger);
  }

  private static Set<PromptPartKey> held(PartLedger ledger) {
    Map<String, PromptPartKey> held = new TreeMap<>();
    for (PartSuspect suspect : ledger.all()) {
      if (suspect.isHeld()) {
        held.put(suspect.part().toString(), suspect.part());
      }
    }
    return Set.copyOf(held.values());
  }

  @Test
  public void aPartIsHeldBackFromItsThirdCrashOn() {
    crash(FIRST);
    crash(FIRST);
    assertEquals(decide(), Set.of());
    crash(FIRST);
    assertEquals(decide(), Set.of(FIRST));
  }

  @Test
  public void theCauseIsHeldBackAtItsFifthCrashThoughASoundPartExplainsSomeOfThem() {
    crash(FIRST, SECOND);
    crash(FIRST, SECOND);
    crash(FIRST, SECOND);
    assertEquals(decide(), Set.of(SECOND));
    crash(FIRST);
    assertEquals(decide(), Set.of(SECOND));
    crash(FIRST);
    assertEquals(decide(), Set.of(FIRST, SECOND));
  }

  @Test
  public void severalReportsOfOneCrashCountOnce() {
    for (int report = 0; report < 5; report++) {
      ledger.recordCrash(List.of(FIRST), CALLER, report, "i-1@1", now += 500);
    }
    assertEquals(decide(), Set.of());
  }

  @Test
  public void aPartThatEveryPromptSharesIsNotHeldBackForTheCrashesOfAnother() {
    for (int crash = 0; crash < 5; crash++) {
      crash(FIRST, SECOND);
    }
    assertEquals(decide(), Set.of(SECOND));
  }

  @Test
  public void aFirstPartIsHeldBackIfCrashesGoOnWithoutTheOther() {
    for (int crash = 0; crash < 3; crash++) {
      crash(FIRST, SECOND);
    }
    assertEquals(decide(), Set.of(SECOND));
    for (int crash = 0; crash < 3; crash++) {
      crash(FIRST, THIRD);
    }
    assertEquals(decide(), Set.of(SECOND, THIRD));
    for (int crash = 0; crash < 3; crash++) {
      crash(FIRST);
    }
    assertEquals(decide(), Set.of(FIRST, SECOND, THIRD));
  }

  @Test
  public void repeatsOfOneRequestAreNotThreeCrashesOfItsParts() {
    for (int repeat = 0; repeat < 5; repeat++) {
      ledger.recordCrash(List.of(FIRST, SECOND), CALLER, 1, "i-" + repeat + "@1", now += 500);
    }
    assertEquals(decide(), Set.of());
    ledger.recordCrash(List.of(FIRST, THIRD), CALLER, 2, "i-9@1", now += 500);
    assertEquals(decide(), Set.of(FIRST));
  }

  @Test
  public void crashesOfAQuarantinedRequestCountAgainstItsOwnPartsOnly() {
    Map<String, Set<Integer>> quarantined = new TreeMap<>();
    for (int crash = 0; crash < 3; crash++) {
      String key = "i-" + crash + "@1";
      now += 500;
      ledger.recordCrash(List.of(FIRST), CALLER, 100 + crash, key, now);
      ledger.recordCrash(List.of(SECOND), CALLER, 7, key, now);
      quarantined.put(key, Set.of(7));
    }
    assertEquals(ledger.decide(now, 0, quarantined), List.of(), "two count of a request's own");
    ledger.recordCrash(List.of(SECOND), CALLER, 8, "i-8@1", now += 500);
    ledger.decide(now, 0, quarantined);
    assertEquals(held(ledger), Set.of(SECOND));
  }

  @Test
  public void theCauseIsHeldBackOnceTheFirstSuspectProvesToBeSound() {
    for (int crash = 0; crash < 3; crash++) {
      crash(FIRST, SECOND);
    }
    assertEquals(decide(), Set.of(SECOND));
    ledger.recordAnswer(List.of(SECOND), now);
    assertEquals(decide(), Set.of(FIRST));
  }

  @Test
  public void anAnswerClearsAPart() {
    crash(FIRST);
    crash(FIRST);
    ledger.recordAnswer(List.of(FIRST), now);
    for (int crash = 0; crash < 8; crash++) {
      crash(FIRST);
      assertEquals(decide(), Set.of(), "crashes within three seconds of the answer count");
    }
    crash(FIRST);
    assertEquals(decide(), Set.of(FIRST));
  }

  @Test
  public void crashesAtOneMomentAreNotThreeCrashes() {
    for (int crash = 0; crash < 6; crash++) {
      ledger.recordCrash(List.of(FIRST), CALLER, crash, "i-" + crash + "@1", now + crash);
    }
    now += 1_000;
    assertEquals(decide(), Set.of());
  }

  @Test
  public void aCrashIsConsideredOnceOthersHadTimeToReport() {
    crash(FIRST);
    crash(FIRST);
    crash(FIRST);
    assertEquals(ledger.decide(now + 299, 300, Map.of()), List.of());
    assertEquals(ledger.decide(now + 300, 300, Map.of()).size(), 1);
  }

  @Test
  public void aRetractedCrashReleasesThePart() {
    crash(FIRST);
    crash(FIRST);
    crash(FIRST);
    decide();
    ledger.retract("i-2@1", now - 1_000);
    assertEquals(held(ledger), Set.of(FIRST), "it was alive before that crash only");
    ledger.retract("i-2@1", now);
    assertEquals(held(ledger), Set.of());
  }

  @Test
  public void viewsOfTwoNodesConvergeInAnyOrder() {
    PartLedger other = new PartLedger(HOLD_MILLIS);
    crash(FIRST, SECOND);
    crash(FIRST, SECOND);
    crash(FIRST, SECOND);
    decide();
    other.recordCrash(List.of(SECOND), OTHER_CALLER, 3, "i-3@1", now);
    other.recordCrash(List.of(SECOND), OTHER_CALLER, 9, "i-9@1", now);
    List<PartSuspect> mine = ledger.all();
    other.all().forEach(suspect -> ledger.merge(suspect, now));
    mine.forEach(suspect -> other.merge(suspect, now));
    assertEquals(other.find(SECOND), ledger.find(SECOND));
    assertTrue(other.find(SECOND).orElseThrow().isHeld());
    assertEquals(
        other.find(SECOND).orElseThrow().crashes().get("i-3@1").caller(), PartCrash.SEVERAL);
  }

  @Test
  public void aReleaseOutlivesAnOlderViewOfThePart() {
    crash(FIRST);
    crash(FIRST);
    crash(FIRST);
    decide();
    PartSuspect older = ledger.find(FIRST).orElseThrow();
    ledger.clear(List.of(FIRST));
    ledger.merge(older, now);
    assertEquals(held(ledger), Set.of());
    assertTrue(ledger.find(FIRST).orElseThrow().corrects(older));
    assertFalse(older.corrects(ledger.find(FIRST).orElseThrow()));
  }

  @Test
  public void aPartOfManyCrashesStaysSmall() {
    for (int crash = 0; crash < 50; crash++) {
      crash(FIRST);
      PartSuspect seen = ledger.find(FIRST).orElseThrow();
      ledger.merge(seen, now);
      assertTrue(seen.crashes().size() <= 12, seen.crashes().size() + " crashes");
    }
    PartSuspect first =
        new PartSuspect(FIRST, 0, Map.of("i-1@1", new PartCrash(CALLER, 1, false)), 0, 0);
    assertFalse(ledger.merge(first, now), "a crash that was dropped counts again");
  }

  @Test
  public void oneRequestAtATimeIsSentAsATrial() {
    crash(FIRST);
    crash(FIRST);
    crash(FIRST);
    decide();
    assertFalse(ledger.offerTrials(true, now + 4_999), "too early");
    assertFalse(ledger.offerTrials(false, now + 5_000), "not by this node");
    assertTrue(ledger.offerTrials(true, now + 5_000));
    TrialPermit permit = ledger.snapshot().held().iterator().next().permit();
    assertTrue(permit.reserve("one"));
    assertFalse(permit.reserve("two"));
    assertTrue(permit.reserve("one"));
    assertFalse(permit.use("two"));
    assertTrue(permit.use("one"));
    assertFalse(permit.use("one"), "a second attempt of the trial");
    ledger.recordTrial(FIRST);
    assertFalse(ledger.offerTrials(true, now + 19_999), "the next one is due after 20 s");
    assertTrue(ledger.offerTrials(true, now + 20_000));
  }

  @Test
  public void aPartWhoseTimeIsOverIsHeldBackAtItsNextCrash() {
    crash(FIRST);
    crash(FIRST);
    crash(FIRST);
    decide();
    now += HOLD_MILLIS + 1;
    assertEquals(ledger.expire(now).size(), 1);
    assertEquals(decide(), Set.of());
    crash(FIRST);
    assertEquals(decide(), Set.of(FIRST));
  }

  @Test
  public void aPartIsHeldBackForItsCallerUnlessOthersCrashServersWithIt() {
    crash(FIRST);
    crash(FIRST);
    crash(FIRST);
    decide();
    HeldPart ofOne = ledger.snapshot().held().iterator().next();
    assertTrue(ofOne.callers().contains(CALLER));
    assertFalse(ofOne.appliesTo("another caller"));
    ledger.recordCrash(List.of(FIRST), OTHER_CALLER, 9, "i-9@1", now);
    assertTrue(ledger.snapshot().held().iterator().next().appliesTo("another caller"));
  }
}
