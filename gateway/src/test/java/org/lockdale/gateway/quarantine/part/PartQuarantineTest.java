package org.lockdale.gateway.quarantine.part;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.caller.CallerRequest;
import org.lockdale.gateway.caller.PromptPart;
import org.lockdale.gateway.quarantine.EmptySuspectTable;
import org.lockdale.gateway.quarantine.VirtualExecutor;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what a node reports, publishes and lets pass. */
public final class PartQuarantineTest {

  private static final String CALLER = "caller";
  private static final long EARLY = 100;

  private final List<PartSuspect> sent = new ArrayList<>();
  private VirtualTime time;
  private PartQuarantine quarantine;
  private int requests;

  @BeforeMethod
  public void create() {
    sent.clear();
    time = new VirtualTime();
    PartContext context =
        new PartContext(
            new VirtualExecutor(time),
            new Section<>(SuspectParts.NONE),
            new EmptySuspectTable(),
            sent::addAll,
            () -> true,
            time);
    quarantine = new PartQuarantine(context, 3_600_000);
    run(5_000);
  }

  private void run(long millis) {
    for (long end = time.monotonicMillis() + millis; time.monotonicMillis() < end; ) {
      time.runMillis(250);
      quarantine.tick(Map.of());
    }
  }

  private CallerRequest request(String part) {
    String id = "r" + ++requests;
    return new CallerRequest(
        id,
        "POST",
        "/a",
        "/a",
        "shop.example",
        CALLER,
        1_000,
        "model",
        List.of(new PromptPart(part, 1), new PromptPart(id, 1)),
        null,
        null,
        null,
        new DefaultHttpHeaders(),
        new byte[0]);
  }

  private void crash(String part, String backend, long arrivedMillis) {
    CallerRequest request = request(part);
    quarantine.recordCrash(request, CALLER, request.id().hashCode(), arrivedMillis, backend);
    run(500);
  }

  private void crashThree() {
    crash("bad", "i-1@1", EARLY);
    crash("bad", "i-2@1", EARLY);
    crash("bad", "i-3@1", EARLY);
    run(500);
  }

  private boolean passes(CallerRequest request) {
    return quarantine.heldPart(request, CALLER).isEmpty() && quarantine.mayBeSent(request, CALLER);
  }

  @Test
  public void requestsThatHadBeenAnsweredForLongerAreNotSuspected() {
    crash("bad", "i-1@1", 280);
    crash("bad", "i-2@1", 280);
    crash("bad", "i-3@1", 280);
    assertTrue(passes(request("bad")));
    assertEquals(sent, List.of());
  }

  @Test
  public void anAnswerJustBeforeItsBackendCrashesClearsNothing() {
    crash("bad", "i-1@1", EARLY);
    crash("bad", "i-2@1", EARLY);
    quarantine.requestAnswered(request("bad"), "i-3@1");
    quarantine.recordCrash(request("bad"), CALLER, 3, EARLY, "i-3@1");
    run(1_000);
    assertFalse(passes(request("bad")));
  }

  @Test
  public void anAnswerReleasesAPartAtOnceThoughItWasSentBefore() {
    crashThree();
    assertFalse(passes(request("bad")));
    quarantine.requestAnswered(request("bad"), "i-4@1");
    run(1_000);
    assertTrue(passes(request("bad")));
  }

  @Test
  public void answersAreNotReportedOnceNothingDependsOnThem() {
    crash("bad", "i-1@1", EARLY);
    assertTrue(quarantine.isSuspected(request("bad")));
    quarantine.requestAnswered(request("bad"), "i-2@1");
    run(1_500);
    assertFalse(quarantine.isSuspected(request("bad")));
  }

  @Test
  public void aTrialIsSentOnceAndReleasesThePartIfItIsAnswered() {
    crashThree();
    run(5_000);
    CallerRequest trial = request("bad");
    assertTrue(passes(trial));
    assertFalse(quarantine.mayBeSent(trial, CALLER), "its second attempt");
    assertFalse(passes(request("bad")), "another request");
    quarantine.requestAnswered(trial, "i-9@1");
    run(1_000);
    assertTrue(passes(request("bad")));
  }

  @Test
  public void aNodeThatIsCorrectedDoesNotAnswer() {
    crashThree();
    PartSuspect held = sent.get(sent.size() - 1);
    quarantine.release("bad");
    run(10_000);
    sent.clear();
    quarantine.receive(List.of(held));
    run(100);
    assertFalse(sent.get(0).isHeld(), "the node that knows of the release reports it");
    PartSuspect released = sent.get(0);
    run(10_000);
    sent.clear();
    quarantine.receive(List.of(released));
    run(10_000);
    assertEquals(sent, List.of(), "there is nothing to correct");
  }
}
