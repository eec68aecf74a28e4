package org.lockdale.gateway.weights;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.lease.Lease;
import org.lockdale.coordination.lease.LeaseReading;
import org.lockdale.coordination.lease.LeaseRow;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendLoad;
import org.lockdale.gateway.backend.Incarnation;
import org.lockdale.gateway.backend.TrackedBackend;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Checks that nodes that place requests are notified of an engine's move from before the order
 * until it is completed.
 */
public final class EngineUpdateTest {

  private static final String MODEL = "model";
  private static final long LEASE_MILLIS = 60_000;
  private static final long STEP_MILLIS = 10;

  private TrackedBackend engine;

  private EmbeddedChannel channel;
  private ControlledEngine control;
  private RolloutProgress progress;
  private long nowMillis;

  /** An engine that completes an order when the test triggers it. */
  private static final class ControlledEngine implements EngineControl {
    private boolean ordered;
    private boolean done;
    private OrderOutcome outcome = OrderOutcome.ACCEPTED;
    private int orders;
    private long startedAtMillis = 1;

    @Override
    public CompletableFuture<EngineState> state(Backend backend) {
      long held = done ? 2 : 1;
      return CompletableFuture.completedFuture(
          new EngineState(
              Incarnation.of("i-1", startedAtMillis),
              Map.of(MODEL, held),
              ordered && !done,
              ordered ? 1 : 0));
    }

    @Override
    public CompletableFuture<OrderOutcome> load(Backend backend, LoadOrder order) {
      orders++;
      ordered = outcome == OrderOutcome.ACCEPTED;
      return CompletableFuture.completedFuture(outcome);
    }
  }

  @BeforeMethod
  public void create() {
    engine =
        TrackedBackend.of(
            new Backend(
                "i-1@1",
                "pool",
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                "zone",
                16,
                false,
                Map.of(MODEL, 1L)));
    channel = new EmbeddedChannel();
    channel.freezeTime();
    control = new ControlledEngine();
    progress = RolloutProgress.NONE;
    nowMillis = 0;
  }

  @AfterMethod(alwaysRun = true)
  public void close() {
    channel.finishAndReleaseAll();
  }

  private CompletableFuture<Boolean> start() {
    Lease lease = new Lease("node", LEASE_MILLIS, 0);
    lease.recordWrite(new LeaseReading(new LeaseRow("node", LEASE_MILLIS), 1, 0), 0);
    RolloutDependencies dependencies =
        new RolloutDependencies(
            control,
            move -> progress = progress.with(move, nowMillis),
            tracked -> tracked.load().waitingTokens(),
            replaced -> replaced.markEnded());
    CompletableFuture<Boolean> done =
        new EngineUpdate(
                channel.eventLoop(),
                dependencies,
                new WeightsPolicy.Move(engine, MODEL, 2),
                lease,
                () -> true,
                "node",
                () -> nowMillis)
            .start();
    channel.runPendingTasks();
    return done;
  }

  private void step() {
    nowMillis += STEP_MILLIS;
    channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    channel.runPendingTasks();
  }

  private boolean isMoving() {
    return progress.isMoving(engine, MODEL, nowMillis);
  }

  /**
   * Guards against announcements that expire before the move is completed. An engine that first
   * completes its running requests takes seconds for an order. Once its announcement had expired,
   * it looked idle, so all nodes sent it requests, each of which it rejected.
   */
  @Test
  public void anEngineCountsAsMovingUntilItsOrderIsCompleted() {
    CompletableFuture<Boolean> done = start();
    while (!control.ordered) {
      step();
    }
    while (nowMillis < 5_700) {
      step();
      assertTrue(isMoving(), "the announcement of the move expired after " + nowMillis + " ms");
    }
    control.done = true;
    while (!done.isDone()) {
      step();
    }
    assertTrue(done.join());
    assertFalse(isMoving());
  }

  @Test
  public void theMoveOfAnEngineThatCarriesOutAnEarlierOrderIsAnnounced() {
    control.ordered = true;
    start();
    step();
    assertTrue(isMoving());
  }

  /** When an order arrives, an engine rejects the requests whose response it has not started. */
  @Test
  public void anOrderWaitsUntilThePromptsAtTheEngineAreProcessed() {
    BackendLoad.Share share = engine.load().open(9_000, 9_000);
    start();
    assertTrue(isMoving());
    while (nowMillis < 300) {
      step();
    }
    assertFalse(control.ordered);
    share.recordStart();
    while (nowMillis < 330) {
      step();
    }
    share.end();
    assertTrue(control.ordered);
  }

  @Test
  public void aPromptThatIsNeverProcessedDelaysNoOrderBeyondTheLimit() {
    BackendLoad.Share share = engine.load().open(90_000, 90_000);
    start();
    while (!control.ordered && nowMillis < 5_000) {
      step();
    }
    share.end();
    assertEquals(nowMillis, 640);
  }

  @Test
  public void anOrderIsGivenAfterItsAnnouncement() {
    start();
    assertTrue(isMoving());
    assertFalse(control.ordered);
    while (!control.ordered) {
      step();
    }
    assertEquals(nowMillis, 40);
  }

  /** An order with the count of the former incarnation could match the next one by chance. */
  @Test
  public void noOrderIsGivenToAnotherIncarnationOfTheEngine() {
    control.startedAtMillis = 2;
    CompletableFuture<Boolean> done = start();
    step();
    assertFalse(done.join());
    assertFalse(control.ordered);
    assertTrue(engine.hasEnded());
  }

  /** The success that tells so carries no id, so it may be a repeated reply to another call. */
  @Test
  public void anEngineThatIsSaidToHoldTheVersionIsAskedForItsState() {
    control.outcome = OrderOutcome.ALREADY_HELD;
    CompletableFuture<Boolean> done = start();
    while (control.orders == 0) {
      step();
    }
    assertFalse(done.isDone());
    assertEquals(engine.weightsOf(MODEL), Long.valueOf(1));
    control.outcome = OrderOutcome.ACCEPTED;
    while (!control.ordered) {
      step();
    }
    control.done = true;
    while (!done.isDone()) {
      step();
    }
    assertTrue(done.join());
  }
}
