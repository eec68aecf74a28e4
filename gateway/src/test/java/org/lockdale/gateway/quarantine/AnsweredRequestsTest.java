package org.lockdale.gateway.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.caller.CallerRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which requests are remembered as answered, and which crashes that explains. */
public final class AnsweredRequestsTest {

  private static final String CALLER = "tenant";
  private static final int BODY_BYTES = 16_384;

  private VirtualTime time;
  private AnsweredRequests answered;

  @BeforeMethod
  public void create() {
    time = new VirtualTime();
    answered = new AnsweredRequests(time);
  }

  private void recordTwice(CallerRequest request) {
    answered.record(request, CALLER);
    answered.record(request, CALLER);
  }

  private boolean isKnown(CallerRequest request, String caller) {
    return answered.isKnown(RequestFingerprint.of(request, caller));
  }

  private boolean explainsCrashes(CallerRequest request) {
    RequestFingerprint fingerprint = RequestFingerprint.of(request, CALLER);
    QuarantinedRequest quarantined =
        new QuarantinedRequest(fingerprint, Set.of("a", "b", "c"), Set.of(), 0);
    return answered.explained(List.of(quarantined)).contains(fingerprint);
  }

  private static CallerRequest poll(String id) {
    return Requests.of(id, "/poll", "the same");
  }

  @Test
  public void aRequestThatWasAnsweredTwiceIsKnownWhateverItsId() {
    assertFalse(isKnown(poll("r1"), CALLER));
    answered.record(poll("r1"), CALLER);
    answered.record(poll("r2"), CALLER);
    assertTrue(isKnown(poll("r3"), CALLER));
  }

  @Test
  public void aRequestOfAnotherCallerOrWithOtherContentsIsNotKnown() {
    recordTwice(poll("r1"));
    assertFalse(isKnown(poll("r2"), "other"));
    assertFalse(isKnown(Requests.of("r2", "/poll", "the sane"), CALLER));
    assertFalse(explainsCrashes(Requests.of("r2", "/poll", "the sane")));
  }

  @Test
  public void aLongBodyIsNotHashedOnTheRequestPath() {
    CallerRequest longest = Requests.of("r", "/", "x".repeat(BODY_BYTES));
    CallerRequest tooLong = Requests.of("r", "/", "x".repeat(BODY_BYTES + 1));
    recordTwice(longest);
    recordTwice(tooLong);
    assertTrue(isKnown(longest, CALLER));
    assertFalse(isKnown(tooLong, CALLER));
  }

  @Test
  public void aResponseExplainsTheCrashesOfOneMoment() {
    recordTwice(poll("r1"));
    time.runMillis(60_000);
    assertTrue(explainsCrashes(poll("r2")));
    time.runMillis(2_000);
    assertTrue(explainsCrashes(poll("r2")));
    time.runMillis(2_000);
    assertFalse(explainsCrashes(poll("r2")), "it may crash servers by now");
    answered.record(poll("r3"), CALLER);
    assertTrue(explainsCrashes(poll("r4")));
  }

  @Test
  public void aRequestIsForgottenSomeTimeAfterItsLastResponse() {
    recordTwice(poll("r1"));
    time.runMillis(590_000);
    assertTrue(isKnown(poll("r2"), CALLER));
    time.runMillis(20_000);
    assertFalse(isKnown(poll("r2"), CALLER));
    assertFalse(explainsCrashes(poll("r2")));
  }

  @Test
  public void ofManyRequestsTheLatestAreKnown() {
    int requests = 100_000;
    for (int number = 0; number < requests; number++) {
      recordTwice(Requests.of("r", "/" + number, ""));
    }
    assertTrue(isKnown(Requests.of("r", "/" + (requests - 1), ""), CALLER));
    long known = 0;
    for (int number = 0; number < requests; number++) {
      known += isKnown(Requests.of("r", "/" + number, ""), CALLER) ? 1 : 0;
    }
    assertEquals(known, 4_096);
  }
}
