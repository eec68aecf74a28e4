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

/** Whoever places requests knows of an engine's move from before the order until it is done. */
public final class EngineUpdateTest {

  private static final String MODEL = "model";
  private static final long LONG_LEASE_MILLIS = 60_000;
  private static final long STEP_MILLIS = 10;

  private TrackedBackend engine;

  private EmbeddedChannel channel;
  private SlowEngine control;
  private RolloutProgress progress;
  private long nowMillis;

  /** An engine that carries out an order when it is told to. */
  private static final class SlowEngine implements EngineControl {
    private boolean ordered;
    private boolean done;
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
      ordered = true;
      return CompletableFuture.completedFuture(OrderOutcome.ACCEPTED);
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
    control = new SlowEngine();
    progress = RolloutProgress.NONE;
    nowMillis = 0;
  }

  @AfterMethod(alwaysRun = true)
  public void close() {
    channel.finishAndReleaseAll();
  }

  private CompletableFuture<Boolean> start() {
    Lease lease = new Lease("node", LONG_LEASE_MILLIS, 0);
    lease.written(new LeaseReading(new LeaseRow("node", LONG_LEASE_MILLIS), 1, 0), 0);
    RolloutTools tools =
        new RolloutTools(
            control,
            move -> progress = progress.with(move, nowMillis),
            tracked -> tracked.load().waitingTokens(),
            replaced -> replaced.end());
    CompletableFuture<Boolean> done =
        new EngineUpdate(
                channel.eventLoop(),
                tools,
                new WeightsPolicy.Move(engine, MODEL, 2),
                lease,
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
   * An engine that ends its runs first takes seconds for an order. When it was believed to be back
   * before that, it looked idle, drew the requests of all nodes and turned each of them away.
   */
  @Test
  public void anEngineIsBelievedToMoveForAsLongAsItsOrderTakes() {
    CompletableFuture<Boolean> done = start();
    while (!control.ordered) {
      step();
    }
    while (nowMillis < 5_700) {
      step();
      assertTrue(isMoving(), "no longer believed to move after " + nowMillis + " ms");
    }
    control.done = true;
    while (!done.isDone()) {
      step();
    }
    assertTrue(done.join());
    assertFalse(isMoving());
  }

  @Test
  public void anEngineThatCarriesOutAnEarlierOrderIsTold() {
    control.ordered = true;
    start();
    step();
    assertTrue(isMoving());
  }

  /** An engine turns away what it has not begun to answer when an order comes. */
  @Test
  public void anOrderWaitsUntilThePromptsAtTheEngineAreRead() {
    BackendLoad.Share share = engine.load().open(9_000, 9_000);
    start();
    assertTrue(isMoving());
    while (nowMillis < 300) {
      step();
    }
    assertFalse(control.ordered);
    share.begin();
    while (nowMillis < 330) {
      step();
    }
    share.end();
    assertTrue(control.ordered);
  }

  @Test
  public void aPromptThatIsNeverReadHoldsUpNoOrder() {
    BackendLoad.Share share = engine.load().open(90_000, 90_000);
    start();
    while (!control.ordered && nowMillis < 5_000) {
      step();
    }
    share.end();
    assertEquals(nowMillis, 640);
  }

  @Test
  public void anOrderIsGivenAfterItsNotice() {
    start();
    assertTrue(isMoving());
    assertFalse(control.ordered);
    while (!control.ordered) {
      step();
    }
    assertEquals(nowMillis, 40);
  }

  /** An order that counts from the former life's orders could fit the next one. */
  @Test
  public void noOrderIsGivenToAnotherLifeOfTheEngine() {
    control.startedAtMillis = 2;
    CompletableFuture<Boolean> done = start();
    step();
    assertFalse(done.join());
    assertFalse(control.ordered);
    assertTrue(engine.isOver());
  }
}
