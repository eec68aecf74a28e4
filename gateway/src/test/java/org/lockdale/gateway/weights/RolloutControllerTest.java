package org.lockdale.gateway.weights;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.blackboard.Section;
import org.lockdale.coordination.lease.LeaseReading;
import org.lockdale.coordination.lease.LeaseRow;
import org.lockdale.coordination.lease.LeaseStore;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.Incarnation;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that a controller that no longer leads neither takes the lease nor gives orders. */
public final class RolloutControllerTest {

  private static final String MODEL = "model";
  private static final long BOUND_MILLIS = 60_000;
  private static final long STEP_MILLIS = 10;

  /** Longer than it takes to acquire the lease and to give an order. */
  private static final long RUN_MILLIS = 3_000;

  private EmbeddedChannel channel;
  private RolloutController controller;
  private ControlledStore store;
  private ControlledEngine engine;
  private boolean mayLead;
  private long nowMillis;

  /** A store whose replies arrive when the test triggers them. */
  private final class ControlledStore implements LeaseStore {
    private CompletableFuture<LeaseReading> read;
    private CompletableFuture<LeaseReading> write;
    private LeaseRow written;

    @Override
    public CompletableFuture<LeaseReading> read() {
      read = new CompletableFuture<>();
      return read;
    }

    @Override
    public CompletableFuture<LeaseReading> write(LeaseRow row, long expectedVersion) {
      written = row;
      write = new CompletableFuture<>();
      return write;
    }

    void replyToRead() {
      read.complete(new LeaseReading(null, 0, nowMillis));
      channel.runPendingTasks();
    }

    void replyToWrite() {
      write.complete(new LeaseReading(written, 1, nowMillis));
      channel.runPendingTasks();
    }
  }

  /** An engine that holds the former weights. */
  private static final class ControlledEngine implements EngineControl {
    private int queries;
    private int orders;

    @Override
    public CompletableFuture<EngineState> state(Backend backend) {
      queries++;
      return CompletableFuture.completedFuture(
          new EngineState(Incarnation.of("i-1", 1L), Map.of(MODEL, 1L), false, 0));
    }

    @Override
    public CompletableFuture<OrderOutcome> load(Backend backend, LoadOrder order) {
      orders++;
      return CompletableFuture.completedFuture(OrderOutcome.UNKNOWN);
    }
  }

  @BeforeMethod
  public void start() {
    channel = new EmbeddedChannel();
    channel.freezeTime();
    store = new ControlledStore();
    engine = new ControlledEngine();
    mayLead = true;
    nowMillis = BOUND_MILLIS;
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    Backend backend = new Backend("i-1@1", "pool", address, "zone", 4, false, Map.of(MODEL, 1L));
    controller =
        new RolloutController(
            channel.eventLoop(),
            new Section<>(TargetWeights.NONE.with(Map.of(MODEL, 2L), 0)),
            new Section<>(BackendTable.EMPTY.with(List.of(backend))),
            new WeightsPolicy(BOUND_MILLIS),
            new RolloutDependencies(engine, move -> {}, tracked -> 0, replaced -> {}),
            store,
            "node",
            0,
            time(),
            () -> mayLead);
    controller.start();
    runUntilRead();
  }

  private Time time() {
    return new Time() {
      @Override
      public long monotonicMillis() {
        return nowMillis;
      }

      @Override
      public long wallMillis() {
        return nowMillis;
      }
    };
  }

  @AfterMethod(alwaysRun = true)
  public void close() {
    channel.finishAndReleaseAll();
  }

  private void step() {
    nowMillis += STEP_MILLIS;
    channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
    channel.runPendingTasks();
  }

  private void runUntilRead() {
    channel.runPendingTasks();
    for (long elapsed = 0; store.read == null && elapsed < RUN_MILLIS; elapsed += STEP_MILLIS) {
      step();
    }
  }

  private void run() {
    for (long elapsed = 0; elapsed < RUN_MILLIS; elapsed += STEP_MILLIS) {
      step();
    }
  }

  private void runUntilQueried() {
    for (long elapsed = 0; engine.queries == 0 && elapsed < RUN_MILLIS; elapsed += STEP_MILLIS) {
      step();
    }
    assertTrue(engine.queries > 0);
    assertEquals(engine.orders, 0);
  }

  @Test
  public void theHolderOfTheLeaseGivesOrders() {
    store.replyToRead();
    store.replyToWrite();
    run();
    assertTrue(engine.orders > 0);
  }

  @Test
  public void aReadThatCompletesAfterCloseDoesNotTakeTheLease() {
    controller.close();
    store.replyToRead();
    assertNull(store.written);
  }

  @Test
  public void aReadThatCompletesOnceTheNodeMayNotLeadDoesNotTakeTheLease() {
    mayLead = false;
    store.replyToRead();
    assertNull(store.written);
  }

  @Test
  public void anUpdateUnderWayGivesNoOrderAfterClose() {
    store.replyToRead();
    store.replyToWrite();
    runUntilQueried();
    controller.close();
    run();
    assertEquals(engine.orders, 0);
  }

  @Test
  public void anUpdateUnderWayGivesNoOrderOnceTheNodeMayNotLead() {
    store.replyToRead();
    store.replyToWrite();
    runUntilQueried();
    mayLead = false;
    run();
    assertEquals(engine.orders, 0);
  }

  @Test
  public void aRenewalThatCompletesAfterCloseAllowsNoOrder() {
    store.replyToRead();
    store.replyToWrite();
    runUntilQueried();
    store.read = null;
    runUntilRead();
    store.replyToRead();
    int ordersBefore = engine.orders;
    controller.close();
    store.replyToWrite();
    run();
    assertEquals(engine.orders, ordersBefore);
  }
}
