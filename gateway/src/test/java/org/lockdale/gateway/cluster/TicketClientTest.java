package org.lockdale.gateway.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.lockdale.gateway.admission.AdmissionMetrics;
import org.lockdale.gateway.admission.AdmissionTerms;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.caller.PromptPart;
import org.lockdale.gateway.cluster.FakeTicketRelay.Behaviour;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementQuery;
import org.lockdale.gateway.placement.PlacementResult;
import org.lockdale.protocol.generated.TicketCancelled;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks where requests wait, and that they get an answer when a relay fails halfway. */
public final class TicketClientTest {

  private static final int TIMEOUT_SECONDS = 20;
  private static final int SLOTS = 4;

  private final List<RelayElection.Relay> relays = new CopyOnWriteArrayList<>();
  private EventLoopGroup group;
  private EventLoop loop;
  private GatewayBlackboard blackboard;
  private TicketNode node;
  private volatile int deciders;

  @BeforeMethod
  public void start() throws IOException {
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    loop = group.next();
    relays.clear();
    deciders = 1;
    blackboard = GatewayBlackboard.empty();
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    List<Backend> backends = new ArrayList<>();
    for (String id : List.of("i-1", "i-2")) {
      backends.add(
          new Backend(id, "pool", address, "zone", SLOTS, false, Map.of(TicketNode.MODEL, 1L)));
    }
    blackboard.backends().publish(BackendTable.EMPTY.with(backends), 0);
    blackboard.backends().value().all().forEach(engine -> engine.health().recordSuccess());
    node = newNode("node", relays);
  }

  private TicketNode newNode(String id, List<RelayElection.Relay> known) throws IOException {
    return new TicketNode(id, loop, blackboard, () -> deciders, known);
  }

  private FakeTicketRelay newRelay(String id, Behaviour behaviour) throws IOException {
    FakeTicketRelay relay = new FakeTicketRelay(id, behaviour, group.next());
    relays.add(relay.relay());
    return relay;
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private static PlacementQuery query(boolean possiblyRun) {
    AdmissionTerms terms =
        new AdmissionTerms(5, 500, 10_000, 500, 0, "tenant", 100, 50, possiblyRun);
    List<PromptPart> parts = List.of(new PromptPart("part", 100));
    return new PlacementQuery("pool", "zone", TicketNode.MODEL, null, parts, Set.of(), null, terms);
  }

  private CompletableFuture<PlacementResult> place() {
    return node.client.place(query(false));
  }

  private static PlacementResult resultOf(CompletableFuture<PlacementResult> future)
      throws Exception {
    return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private static Placement placementOf(CompletableFuture<PlacementResult> future) throws Exception {
    return resultOf(future).placed().orElseThrow();
  }

  private static void await(java.util.function.BooleanSupplier condition) throws Exception {
    for (int waited = 0; waited < TIMEOUT_SECONDS * 100 && !condition.getAsBoolean(); waited++) {
      Thread.sleep(10);
    }
    assertTrue(condition.getAsBoolean());
  }

  /** Guards against placements of a relay that are lost or counted for another relay. */
  @Test
  public void relayPlacesTicket() throws Exception {
    newRelay("relay-1", Behaviour.PLACES);
    assertEquals(placementOf(place()).origin(), new Placement.Origin("relay-1", 7));
  }

  /** Guards against a refusal that is answered by a placement of the node itself. */
  @Test
  public void relayRefusesTicket() throws Exception {
    newRelay("relay-1", Behaviour.REFUSES);
    assertEquals(resultOf(place()), new PlacementResult.Refused(300, 9_000));
  }

  /**
   * Guards against a request that is lost or loses its place when a relay with a queue is killed.
   */
  @Test
  public void ticketOfKilledRelayIsAskedOfTheNextOne() throws Exception {
    FakeTicketRelay killed = newRelay("relay-1", Behaviour.HOLDS_ONCE);
    FakeTicketRelay next = newRelay("relay-2", Behaviour.PLACES);
    assertEquals(placementOf(place()).origin(), new Placement.Origin("relay-2", 7));
    long first = killed.tickets.get(0).getTerms().getWaitedMillis();
    long second = next.tickets.get(0).getTerms().getWaitedMillis();
    assertTrue(second - first >= 240, "the arrival time was not kept: " + first + " " + second);
    // A placement that the first relay still makes is taken back.
    await(() -> killed.cancelled.size() == 1);
  }

  /** Guards against requests that wait at a relay of an earlier build, which drops tickets. */
  @Test
  public void relayOfEarlierBuildIsAskedInTheOldForm() throws Exception {
    newRelay("relay-1", Behaviour.EARLIER_BUILD);
    assertEquals(placementOf(place()).origin(), new Placement.Origin("relay-1", 8));
    assertEquals(placementOf(place()).origin(), new Placement.Origin("relay-1", 8));
    assertEquals(placementOf(place()).origin(), new Placement.Origin("relay-1", 8));
    long start = System.nanoTime();
    assertEquals(placementOf(place()).origin(), new Placement.Origin("relay-1", 8));
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    assertTrue(
        millis < TicketNode.ANSWER_MILLIS, "a ticket was sent although three were not answered");
  }

  /** Guards against tickets of callers that have left and keep their place at the relay. */
  @Test
  public void ticketOfCallerThatLeftIsCancelled() throws Exception {
    FakeTicketRelay relay = newRelay("relay-1", Behaviour.HOLDS);
    CompletableFuture<PlacementResult> future = place();
    await(() -> relay.tickets.size() == 1);
    assertFalse(future.isDone());
    future.cancel(false);
    await(() -> relay.cancelled.equals(List.of(relay.tickets.get(0).getQuestion().getNumber())));
  }

  /** Guards against a node that asks again although its relay is alive and holds the ticket. */
  @Test
  public void heldTicketWaitsAtItsRelay() throws Exception {
    FakeTicketRelay relay = newRelay("relay-1", Behaviour.HOLDS);
    CompletableFuture<PlacementResult> future = place();
    await(() -> !relay.tickets.isEmpty());
    Thread.sleep(600);
    assertFalse(future.isDone());
    assertEquals(relay.tickets.size(), 1);
  }

  /** Guards against a node without relay that takes more than its part of each engine. */
  @Test
  public void nodeWithoutRelayUsesItsShareOfTheEngines() throws Exception {
    deciders = SLOTS;
    assertTrue(resultOf(place()).placed().isPresent());
    assertTrue(resultOf(place()).placed().isPresent());
    CompletableFuture<PlacementResult> third = place();
    Thread.sleep(100);
    assertFalse(third.isDone(), "two engines with one slot each for this node have no room");
    third.cancel(false);
    await(() -> !node.admission.controller().hasTickets());
  }

  /** Guards against room that is not used when a report shows it, across two nodes. */
  @Test
  public void ticketHeldAtRelayIsPlacedOnceThereIsRoom() throws Exception {
    TicketNode relay = newNode("relay-1", List.of());
    relays.add(new RelayElection.Relay("relay-1", relay.address, 0));
    for (String engine : List.of("i-1", "i-2")) {
      relay.loads.recordReport("other", engine, new BackendWork(0, 400, SLOTS));
    }
    CompletableFuture<PlacementResult> future = place();
    await(() -> relay.admission.controller().hasTickets());
    assertFalse(future.isDone());
    relay.loads.recordReport("other", "i-2", new BackendWork(0, 300, SLOTS - 1));
    loop.execute(relay.admission::onReport);
    Placement placement = placementOf(future);
    assertEquals(placement.target().backend().id(), "i-2");
    assertEquals(relay.loads.at("i-2").openRequests(), SLOTS);
  }

  /** Guards against a placement for a node that no longer uses it and that fills an engine. */
  @Test
  public void unusedPlacementIsTakenBack() throws Exception {
    TicketNode relay = newNode("relay-1", List.of());
    relays.add(new RelayElection.Relay("relay-1", relay.address, 0));
    placementOf(place());
    BackendWork placed = relay.loads.at("i-1").plus(relay.loads.at("i-2"));
    assertEquals(placed.openRequests(), 1);
    // The number of the only question that the node has asked.
    loop.execute(() -> relay.responder.onCancelled("node", new TicketCancelled(List.of(1L))));
    await(() -> relay.loads.at("i-1").plus(relay.loads.at("i-2")).isNone());
  }

  /** Guards against a request that may have run and is refused as not run. */
  @Test
  public void requestThatMayHaveRunIsNotRefused() throws Exception {
    for (String engine : List.of("i-1", "i-2")) {
      node.loads.recordReport("other", engine, new BackendWork(9_000_000, 0, SLOTS));
    }
    CompletableFuture<PlacementResult> future = node.client.place(query(true));
    assertTrue(resultOf(place()) instanceof PlacementResult.Refused);
    assertFalse(future.isDone());
  }

  /** Guards against a request that waits for memory that no engine has. */
  @Test
  public void requestLargerThanAnyEngineIsRefusedAtOnce() throws Exception {
    AdmissionTerms terms = new AdmissionTerms(0, 500, 10_000, 500, 0, null, 100_000, 50, false);
    PlacementResult result = resultOf(node.client.place(query(false).withTerms(terms)));
    assertEquals(result, new PlacementResult.Refused(0, 0));
    assertEquals(node.admission.metrics().refusals(AdmissionMetrics.Cause.TOO_LARGE), 1);
  }

  /** Guards against requests without terms, such as plain calls, that wait. */
  @Test
  public void requestWithoutTermsIsPlacedAtOnce() throws Exception {
    for (String engine : List.of("i-1", "i-2")) {
      node.loads.recordReport("other", engine, new BackendWork(0, 400, SLOTS));
    }
    assertTrue(resultOf(node.client.place(query(false).withTerms(null))).placed().isPresent());
  }

  /** Guards against placements of this node that stay counted beside their open attempts. */
  @Test
  public void ownPlacementCountsUntilItIsOpen() throws Exception {
    Placement placement = placementOf(place());
    String engine = placement.target().backend().id();
    assertEquals(node.loads.at(engine).openRequests(), 1);
    node.client.recordOpened(placement);
    assertTrue(node.loads.at(engine).isNone());
  }
}
