package org.lockdale.gateway.life;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.Incarnation;
import org.lockdale.gateway.backend.TrackedBackend;
import org.lockdale.gateway.quarantine.VirtualExecutor;
import org.lockdale.gateway.weights.EngineControl;
import org.lockdale.gateway.weights.EngineState;
import org.lockdale.gateway.weights.LoadOrder;
import org.lockdale.gateway.weights.OrderOutcome;
import org.lockdale.gateway.weights.ReplacedEngineException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that the first rejected request shows that an incarnation has ended. A backend crashed
 * while it was unreachable, and its address was in use again: for two seconds seven nodes sent
 * about 20 requests to its record, each of which was rejected as meant for another server.
 */
public final class IncarnationMonitorTest {

  private static final String MODEL = "model";

  private final VirtualTime time = new VirtualTime();
  private BackendTable table;
  private TrackedBackend target;
  private List<String> notified;
  private CompletableFuture<EngineState> state;
  private int queries;
  private IncarnationMonitor monitor;

  private final class Engine implements EngineControl {
    @Override
    public CompletableFuture<EngineState> state(Backend engine) {
      queries++;
      return state;
    }

    @Override
    public CompletableFuture<OrderOutcome> load(Backend engine, LoadOrder order) {
      throw new UnsupportedOperationException();
    }
  }

  @BeforeMethod
  public void create() {
    InetSocketAddress address = InetSocketAddress.createUnresolved("server", 1);
    table =
        BackendTable.EMPTY.with(
            List.of(new Backend("i-1@7", "pool", address, "zone", 4, false, Map.of(MODEL, 5L))));
    target = table.find("i-1@7");
    notified = new ArrayList<>();
    queries = 0;
    state = new CompletableFuture<>();
    monitor =
        new IncarnationMonitor(
            new VirtualExecutor(time), new Engine(), () -> table, notified::add, time);
  }

  private void misdirected(Long weights) {
    monitor.misdirected(target, MODEL, weights);
    time.runMillis(1);
  }

  private void completeState(EngineState engineState) {
    state.complete(engineState);
    time.runMillis(1);
  }

  private static EngineState stateOf(Long start, long version) {
    return new EngineState(Incarnation.of("i-1", start), Map.of(MODEL, version), false, 0);
  }

  @Test
  public void aRejectionThatOnlyRequiredTheInstanceShowsThatItIsOver() {
    misdirected(null);
    assertTrue(target.hasEnded());
    assertEquals(notified, List.of("i-1@7"));
    misdirected(null);
    assertEquals(notified.size(), 1, "all nodes are notified once");
  }

  @Test
  public void whereWeightsWereRequiredTheStateOfTheEngineDecides() {
    misdirected(5L);
    assertFalse(target.hasEnded(), "the weights may be the reason");
    completeState(stateOf(8L, 5));
    assertTrue(target.hasEnded());
    assertEquals(notified, List.of("i-1@7"));
  }

  @Test
  public void anotherServerAtTheAddressShowsTheEnd() {
    misdirected(5L);
    state.completeExceptionally(new ReplacedEngineException("i-1@7"));
    time.runMillis(1);
    assertTrue(target.hasEnded());
  }

  @Test
  public void olderWeightsThatAnEngineReportsAreAccepted() {
    target.observeWeights(MODEL, 6);
    misdirected(6L);
    completeState(stateOf(7L, 4));
    assertFalse(target.hasEnded());
    assertEquals(target.weightsOf(MODEL), Long.valueOf(4));
    target.observeWeights(MODEL, 6);
    assertEquals(target.weightsOf(MODEL), Long.valueOf(6));
  }

  @Test
  public void anEngineThatDoesNotAnswerShowsNothing() {
    misdirected(5L);
    state.completeExceptionally(new IllegalStateException("no answer"));
    time.runMillis(1);
    assertFalse(target.hasEnded());
  }

  @Test
  public void manyMisdirectedRequestsCauseOneQuery() {
    for (int request = 0; request < 20; request++) {
      misdirected(5L);
    }
    assertEquals(queries, 1);
    time.runMillis(500);
    misdirected(5L);
    assertEquals(queries, 2);
  }

  @Test
  public void reportsOfOtherNodesApplyToThatIncarnationOnly() {
    monitor.receive(List.of("i-1@6", "i-1", "i-2@7"));
    assertFalse(target.hasEnded());
    monitor.receive(List.of("i-1@7"));
    assertTrue(target.hasEnded());
    assertEquals(notified, List.of(), "the node that detected it has notified all");
  }

  /** The record has moved to another address; a response from the previous one proves nothing. */
  @Test
  public void anIncarnationThatMovedToAnotherAddressHasNotEnded() {
    misdirected(null);
    InetSocketAddress other = InetSocketAddress.createUnresolved("server", 2);
    table =
        table.with(
            List.of(new Backend("i-1@7", "pool", other, "zone", 4, false, Map.of(MODEL, 5L))));
    assertFalse(table.find("i-1@7").hasEnded());
  }

  @Test
  public void registeredActionsRunOnceWhenAnIncarnationIsOverUnlessRemoved() {
    List<String> waiting = new ArrayList<>();
    Runnable action = () -> waiting.add("over");
    Runnable removed = () -> waiting.add("removed");
    target.addEndListener(action);
    target.addEndListener(removed);
    target.removeEndListener(removed);
    misdirected(null);
    target.markEnded();
    assertEquals(waiting, List.of("over"));
  }
}
