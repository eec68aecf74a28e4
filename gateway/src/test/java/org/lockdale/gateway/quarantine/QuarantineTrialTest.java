package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.quarantine.LostAttempt.Loss;
import org.lockdale.gateway.quarantine.SuspectFleet.Node;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that a quarantined request is sent again as a trial, and only a few times over all nodes.
 */
public final class QuarantineTrialTest {

  /** Time in milliseconds after the crashes by which a trial is offered. */
  private static final long OFFERED_MILLIS = 7_000;

  /** Time in milliseconds in which a second trial is offered after the first one was lost. */
  private static final long OFFERED_AGAIN_MILLIS = 30_000;

  /** Late sends of a request that crashes servers that the deployments tolerate. */
  private static final int ALLOWED_LATE_SENDS = 3;

  private static final long EARLIEST_MILLIS = 5_000;
  private static final long SECOND = 1_000;

  private SuspectFleet fleet;
  private Node coordinator;
  private Node other;

  @BeforeMethod
  public void startNodes() {
    fleet = new SuspectFleet("a", "b", "c");
    coordinator = fleet.startNode();
    other = fleet.startNode();
    fleet.coordinators.add(coordinator.id);
  }

  private void crashAllServersAtOneMoment() {
    crashAllServersAtOneMoment(1, true);
  }

  /** Crashes an incarnation of each server, starts the next one, and checks who refuses. */
  private void crashAllServersAtOneMoment(int incarnation, boolean refused) {
    crash(coordinator, "a@" + incarnation);
    crash(other, "b@" + incarnation);
    crash(coordinator, "c@" + incarnation);
    fleet.run(500);
    List.of("a", "b", "c").forEach(server -> fleet.putOnRecord(server, incarnation + 1));
    assertEquals(coordinator.refuses(), refused);
    assertEquals(other.refuses(), refused);
  }

  private static void crash(Node node, String backend) {
    node.lose(Optional.empty(), backend, Loss.CLOSED);
  }

  /** Crashes the second incarnation of a server, and starts its third one. */
  private void crashAgain(Node node, String server) {
    crash(node, server + "@2");
    fleet.putOnRecord(server, 3);
  }

  /** Sends the request wherever it isn't refused; returns how often. */
  private static int sendAsTrial(Node... nodes) {
    int sent = 0;
    for (Node node : nodes) {
      sent += node.sendIfPermitted("r", "a@2") ? 1 : 0;
    }
    return sent;
  }

  /** Asks the nodes for the request each second; returns how often it was sent. */
  private int askEachSecond(long millis, Node... nodes) {
    int sent = 0;
    for (long elapsed = 0; elapsed < millis; elapsed += SECOND) {
      fleet.run(SECOND);
      sent += sendAsTrial(nodes);
    }
    return sent;
  }

  /** Asks a node for the request each second until it no longer refuses it. */
  private void waitForTrial(Node node) {
    for (long elapsed = 0; elapsed < OFFERED_MILLIS && node.refuses(); elapsed += SECOND) {
      fleet.run(SECOND);
    }
    assertFalse(node.refuses());
  }

  @Test
  public void aRequestThatIsNotTheCauseIsServedAgainAfterAllServersCrashedAtOneMoment() {
    crashAllServersAtOneMoment();
    assertEquals(askEachSecond(OFFERED_MILLIS, coordinator, other), 1);
    coordinator.recordAnswer();
    fleet.run(SECOND);
    assertFalse(coordinator.refuses());
    assertFalse(other.refuses());
  }

  @Test
  public void noTrialIsOfferedSoonAfterTheCrashes() {
    crashAllServersAtOneMoment();
    assertEquals(askEachSecond(EARLIEST_MILLIS - SECOND, coordinator, other), 0);
  }

  @Test
  public void ofSeveralRequestsAtTheSameTimeOneIsTheTrial() {
    crashAllServersAtOneMoment();
    waitForTrial(coordinator);
    assertTrue(coordinator.sendIfPermitted("first", "a@2"));
    assertFalse(coordinator.sendIfPermitted("second", "b@2"));
    assertFalse(coordinator.sendIfPermitted("first", "b@2"));
  }

  @Test
  public void aNodeThatIsTheOnlyOneAskedMakesTheTrialThoughItIsNotTheCoordinator() {
    crashAllServersAtOneMoment();
    assertEquals(askEachSecond(2 * OFFERED_MILLIS, other), 1);
  }

  @Test
  public void aTrialIsNotClaimedForARequestThatNobodySends() {
    crash(coordinator, "a@1");
    crash(other, "b@1");
    crash(coordinator, "c@1");
    fleet.run(OFFERED_AGAIN_MILLIS);
    assertFalse(hasClaims());
  }

  @Test
  public void aTrialThatCouldNotBeSentIsMadeByTheNextRequest() {
    crashAllServersAtOneMoment();
    waitForTrial(coordinator);
    assertTrue(coordinator.sendIfPermitted("first", "a@2"));
    coordinator.reportNotSent("first");
    assertTrue(coordinator.sendIfPermitted("second", "b@2"));
    coordinator.reportNotSent("first");
    assertFalse(coordinator.sendIfPermitted("third", "c@2"));
  }

  @Test
  public void aRequestThatCrashesServersReachesFewHoweverOftenNodesRestart() {
    crashAllServersAtOneMoment();
    int sent = 0;
    int incarnation = 2;
    Node node = coordinator;
    for (int restart = 0; restart < 20; restart++) {
      for (int second = 0; second < 40; second++) {
        fleet.run(SECOND);
        for (Node each : List.of(node, other)) {
          String backend = "a@" + incarnation;
          if (each.sendIfPermitted("r", backend)) {
            sent++;
            crash(each, backend);
            fleet.putOnRecord("a", ++incarnation);
          }
        }
      }
      node.kill();
      other.kill();
      node = fleet.startNode();
      other = fleet.startNode();
      fleet.coordinators.add(node.id);
    }
    assertTrue(sent >= 1 && sent <= ALLOWED_LATE_SENDS - 1, "sent " + sent);
  }

  /** Sends the trial, and crashes servers under it and under other requests. */
  private void loseTrial(int incarnation, String... servers) {
    assertEquals(askEachSecond(12 * SECOND, coordinator), 1);
    for (String server : servers) {
      CallerRequest request = Requests.of("r", "/a", server.equals("a") ? "guilty" : server);
      coordinator.lose(request, server + "@" + incarnation);
      fleet.putOnRecord(server, incarnation + 1);
    }
  }

  @Test
  public void aTrialThatIsLostAsAllServersCrashIsMadeAgainUntilItIsAnswered() {
    crashAllServersAtOneMoment();
    for (int incarnation = 2; incarnation < 8; incarnation++) {
      loseTrial(incarnation, "a", "b", "c");
    }
    assertEquals(askEachSecond(12 * SECOND, coordinator), 1);
    coordinator.recordAnswer();
    fleet.run(SECOND);
    assertFalse(coordinator.refuses());
    assertFalse(other.refuses());
  }

  @Test
  public void aTrialThatIsLostWhileAServerOfThePoolLivesOnCounts() {
    crashAllServersAtOneMoment();
    loseTrial(2, "a", "b");
    loseTrial(3, "a");
    assertEquals(askEachSecond(100 * SECOND, coordinator, other), 0);
  }

  /** A request that crashes servers may by chance be sent as all others crash. */
  @Test
  public void anInconclusiveTrialAddsNoTrialToThoseOfARequestThatCrashesServers() {
    crashAllServersAtOneMoment();
    loseTrial(2, "a", "b", "c");
    loseTrial(3, "a");
    assertEquals(askEachSecond(100 * SECOND, coordinator, other), 0);
  }

  /** Its server may have crashed because of another request. */
  @Test
  public void aTrialThatCrashesAServerIsFollowedByOneOther() {
    crashAllServersAtOneMoment();
    assertEquals(askEachSecond(OFFERED_MILLIS, coordinator), 1);
    crashAgain(coordinator, "a");
    assertEquals(askEachSecond(EARLIEST_MILLIS, coordinator, other), 0);
    assertEquals(askEachSecond(OFFERED_AGAIN_MILLIS, coordinator, other), 1);
    crashAgain(coordinator, "b");
    assertEquals(askEachSecond(100 * SECOND, coordinator, other), 0);
  }

  /** Each of them was a send that counts among those that are tolerated. */
  @Test
  public void aRequestThatCrashedServersAfterAllNodesKnewHasOneTrial() {
    crashAllServersAtOneMoment();
    fleet.run(4 * SECOND);
    crashAgain(other, "b");
    assertEquals(askEachSecond(OFFERED_AGAIN_MILLIS, coordinator, other), 1);
    crashAgain(other, "a");
    assertEquals(askEachSecond(100 * SECOND, coordinator, other), 0);
  }

  @Test
  public void aTrialOfAKilledNodeIsFollowedByAnother() {
    crashAllServersAtOneMoment();
    waitForTrial(coordinator);
    coordinator.kill();
    assertEquals(askEachSecond(EARLIEST_MILLIS, other), 0);
    assertEquals(askEachSecond(OFFERED_AGAIN_MILLIS, other), 1);
    assertEquals(askEachSecond(100 * SECOND, other), 0);
  }

  @Test
  public void nodesThatAllClaimATrialMakeOne() {
    Node third = fleet.startNode();
    fleet.coordinators.add(other.id);
    fleet.coordinators.add(third.id);
    crashAllServersAtOneMoment();
    fleet.datagramsLost = true;
    fleet.delayingWrites = true;
    assertEquals(askEachSecond(8 * SECOND, coordinator, other, third), 0);
    fleet.applyDelayedChanges();
    assertEquals(askEachSecond(8 * SECOND, coordinator, other, third), 1);
  }

  /** Without the store no node knows whether another one makes the trial. */
  @Test
  public void noTrialIsOfferedWhileTheStoreIsUnavailable() {
    crashAllServersAtOneMoment();
    fleet.storeDown = true;
    assertEquals(askEachSecond(60 * SECOND, coordinator, other), 0);
    fleet.storeDown = false;
    assertEquals(askEachSecond(OFFERED_MILLIS, coordinator, other), 1);
  }

  @Test
  public void aRequestThatWasAnsweredHasATrialAgainInItsNextQuarantine() {
    crashAllServersAtOneMoment();
    assertEquals(askEachSecond(OFFERED_MILLIS, coordinator, other), 1);
    coordinator.recordAnswer();
    fleet.run(30 * SECOND);
    List.of("a@2", "b@2", "c@2").forEach(backend -> crash(other, backend));
    fleet.run(500);
    assertTrue(coordinator.refuses());
    List.of("a", "b", "c").forEach(server -> fleet.putOnRecord(server, 3));
    assertEquals(askEachSecond(OFFERED_MILLIS, coordinator, other), 1);
  }

  /** Clears the request, and crashes all servers under it again soon after. */
  private void releaseAndCrashAllServers(int incarnation) {
    coordinator.release();
    fleet.run(2 * SECOND);
    assertFalse(other.refuses());
    List.of("a@", "b@", "c@").forEach(server -> crash(other, server + incarnation));
    fleet.run(500);
    assertTrue(coordinator.refuses());
    List.of("a", "b", "c").forEach(server -> fleet.putOnRecord(server, incarnation + 1));
  }

  @Test
  public void theTrialsBeforeARequestWasClearedDoNotCountInItsNextQuarantine() {
    crashAllServersAtOneMoment();
    for (int incarnation = 2; incarnation < 7; incarnation++) {
      assertEquals(askEachSecond(OFFERED_MILLIS, coordinator, other), 1);
      releaseAndCrashAllServers(incarnation);
    }
  }

  @Test
  public void aTrialThatWasNotSentBeforeARequestWasClearedIsNotSentInItsNextQuarantine() {
    crashAllServersAtOneMoment();
    waitForTrial(coordinator);
    releaseAndCrashAllServers(2);
    assertEquals(askEachSecond(EARLIEST_MILLIS - SECOND, coordinator, other), 0);
    assertEquals(askEachSecond(100 * SECOND, coordinator, other), 2);
  }

  /** Answers the request as often as a poll, so that it is known to be harmless. */
  private void answerRepeatedly(Node node) {
    node.recordAnswer();
    node.recordAnswer();
    fleet.run(SECOND);
  }

  @Test
  public void aRequestThatIsAnsweredAtOtherTimesIsNotQuarantinedWhenAllServersCrash() {
    answerRepeatedly(other);
    for (int incarnation = 1; incarnation < 6; incarnation++) {
      for (String server : List.of("a@", "b@", "c@")) {
        crash(coordinator, server + incarnation);
      }
      fleet.run(500);
      assertFalse(coordinator.refuses(), "crash " + incarnation);
      assertFalse(other.refuses(), "crash " + incarnation);
      int next = incarnation + 1;
      List.of("a", "b", "c").forEach(server -> fleet.putOnRecord(server, next));
      fleet.run(8 * SECOND);
      coordinator.recordAnswer();
      other.recordAnswer();
    }
  }

  @Test
  public void aRequestThatBeginsToCrashServersIsQuarantinedWhateverItWasBefore() {
    answerRepeatedly(coordinator);
    int incarnation = 0;
    while (!coordinator.refuses() && incarnation < 10) {
      crash(coordinator, "a@" + ++incarnation);
      fleet.putOnRecord("a", incarnation + 1);
      fleet.run(SECOND);
    }
    assertTrue(incarnation <= 7, "crashed " + incarnation);
    assertTrue(other.refuses());
  }

  @Test
  public void aRequestThatWasAnsweredBeforeHasTrialsUntilOneIsAnswered() {
    answerRepeatedly(coordinator);
    crashAllServersAtOneMoment(1, false);
    fleet.run(4 * SECOND);
    crashAllServersAtOneMoment(2, true);
    for (int incarnation = 3; incarnation < 8; incarnation++) {
      assertEquals(askEachSecond(12 * SECOND, coordinator, other), 1);
      crash(coordinator, "a@" + incarnation);
      fleet.putOnRecord("a", incarnation + 1);
    }
    assertEquals(askEachSecond(12 * SECOND, coordinator, other), 1);
    coordinator.recordAnswer();
    fleet.run(SECOND);
    assertFalse(other.refuses());
  }

  @Test
  public void theClaimsOfAnAnsweredRequestAreRemoved() {
    crashAllServersAtOneMoment();
    assertEquals(askEachSecond(OFFERED_MILLIS, coordinator), 1);
    assertTrue(hasClaims());
    coordinator.recordAnswer();
    fleet.run(30 * SECOND);
    assertFalse(hasClaims());
  }

  private boolean hasClaims() {
    return fleet.rows.keySet().stream().anyMatch(key -> key.startsWith("suspect-trial/"));
  }

  @Test
  public void aRefusalTellsWhenTheTrialHasAnOutcome() {
    crashAllServersAtOneMoment();
    long due = fleet.time.monotonicMillis() + EARLIEST_MILLIS;
    long until = other.refusal().orElseThrow().untilMillis();
    assertTrue(until > due - SECOND && until < due + 3 * SECOND, "until " + until + ", due " + due);
  }
}
