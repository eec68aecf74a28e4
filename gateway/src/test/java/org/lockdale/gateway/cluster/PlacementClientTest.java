package org.lockdale.gateway.cluster;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.lockdale.coordination.time.SystemTime;
import org.lockdale.gateway.backend.AdvertisedRate;
import org.lockdale.gateway.backend.Backend;
import org.lockdale.gateway.backend.BackendTable;
import org.lockdale.gateway.backend.BackendWork;
import org.lockdale.gateway.blackboard.GatewayBlackboard;
import org.lockdale.gateway.cache.CacheDirectory;
import org.lockdale.gateway.cache.CachePlanner;
import org.lockdale.gateway.cache.UnresponsiveHolders;
import org.lockdale.gateway.placement.BackendChooser;
import org.lockdale.gateway.placement.Placement;
import org.lockdale.gateway.placement.PlacementDecider;
import org.lockdale.gateway.placement.PlacementQuery;
import org.lockdale.gateway.placement.PlacementResult;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.gateway.usage.TrafficMeter;
import org.lockdale.gateway.weights.TargetWeights;
import org.lockdale.gateway.weights.WeightsPolicy;
import org.lockdale.http.LoopbackPorts;
import org.lockdale.protocol.generated.PlacementAnswer;
import org.lockdale.protocol.generated.PlacementQuestion;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that a request is placed by a relay that answers, and by this node only if none does. */
public final class PlacementClientTest {

  private static final int TIMEOUT_SECONDS = 20;

  /** Long enough for a relay that answers to do so in time on a busy machine. */
  private static final int ANSWER_SECONDS = 2;

  private static final PlacementQuery QUERY =
      new PlacementQuery("pool", "zone", null, null, List.of(), Set.of(), null, null);

  private static final String MODEL = "model";
  private static final long OLD_WEIGHTS = 1;
  private static final long NEW_WEIGHTS = 2;

  /** Longest time for which older weights may serve; far longer than a test takes. */
  private static final long WEIGHTS_BOUND_MILLIS = 60_000;

  private static final PlacementQuery QUERY_FOR_MODEL =
      new PlacementQuery("pool", "zone", MODEL, null, List.of(), Set.of(), null, null);

  /** Backends whose placements a relay has not counted in their rate. */
  private final List<String> uncounted = new ArrayList<>();

  private final List<RelayElection.Relay> relays = new ArrayList<>();
  private EventLoopGroup group;
  private GatewayBlackboard blackboard;
  private PlacementClient client;
  private BackendRates rates;

  /** Backends that the latest query excluded. */
  private volatile List<String> excluded = List.of();

  private final AtomicInteger questions = new AtomicInteger();

  /** Answers each query with the first backend, which holds the old weights. */
  private final class Answering extends NoOpDatagramListener {
    private final DatagramExchange exchange;

    Answering(DatagramExchange exchange) {
      this.exchange = exchange;
    }

    @Override
    public void onPlacementQuestion(
        String sender, InetSocketAddress address, PlacementQuestion question) {
      questions.incrementAndGet();
      excluded = question.getExcluded();
      Long weights = question.getModel() == null ? null : OLD_WEIGHTS;
      exchange.send(
          address,
          new PlacementAnswer(question.getNumber(), 1L, "i-1", weights, 0L, null, null, 0L));
    }
  }

  /** Passes answers to the client under test. */
  private final class Asking extends NoOpDatagramListener {
    @Override
    public void onPlacementAnswer(String sender, PlacementAnswer answer) {
      client.onAnswer(sender, answer);
    }
  }

  @BeforeMethod
  public void start() throws IOException {
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    relays.clear();
    uncounted.clear();
    rates = new BackendRates(SystemTime.instance());
    questions.set(0);
    EventLoop loop = group.next();
    DatagramExchange datagrams =
        new DatagramExchange("node", LoopbackPorts.free(), loop, new TrafficMeter());
    datagrams.start(new Asking());
    blackboard = GatewayBlackboard.empty();
    blackboard.backends().publish(backends(), 0);
    CacheDirectory directory =
        new CacheDirectory(
            loop, new UnresponsiveHolders(), () -> blackboard.backends().value(), List::of);
    PlacementDecider decider =
        new PlacementDecider(
            blackboard,
            new BackendChooser(engine -> BackendWork.NONE),
            new CachePlanner(directory, (engine, parts) -> {}),
            new WeightsPolicy(WEIGHTS_BOUND_MILLIS),
            rates);
    client =
        new PlacementClient(
            new PlacementClient.Context(
                loop,
                datagrams,
                () -> relays.stream().findFirst(),
                () -> relays,
                () -> blackboard.backends().value(),
                decider,
                (relay, backend) -> uncounted.add(backend),
                new NodeReporter(
                    loop,
                    datagrams,
                    () -> blackboard.backends().value(),
                    List::of,
                    SystemTime.instance()),
                SystemTime.instance()),
            Duration.ofSeconds(ANSWER_SECONDS),
            relay -> {});
  }

  private static BackendTable backends() {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    return BackendTable.EMPTY.with(
        List.of(
            new Backend("i-1", "pool", address, "zone", 4, false, Map.of(MODEL, OLD_WEIGHTS)),
            new Backend("i-2", "pool", address, "zone", 4, false, Map.of(MODEL, NEW_WEIGHTS))));
  }

  private void addRelay(String id, boolean answers) throws IOException {
    InetSocketAddress address = LoopbackPorts.free();
    relays.add(new RelayElection.Relay(id, address, 0));
    if (answers) {
      DatagramExchange exchange =
          new DatagramExchange(id, address, group.next(), new TrafficMeter());
      exchange.start(new Answering(exchange));
    }
  }

  private Placement place() throws Exception {
    return place(QUERY);
  }

  private Placement place(PlacementQuery query) throws Exception {
    return client.place(query).get(TIMEOUT_SECONDS, TimeUnit.SECONDS).placed().orElseThrow();
  }

  private void setNewTargetVersion(long ageMillis) {
    long setAtMillis = SystemTime.instance().monotonicMillis() - ageMillis;
    TargetWeights targets = TargetWeights.NONE.with(Map.of(MODEL, NEW_WEIGHTS), setAtMillis);
    blackboard.weights().publish(targets, setAtMillis);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  public void theCoordinatorPlaces() throws Exception {
    addRelay("senior", true);
    addRelay("junior", true);
    assertEquals(place().origin(), new Placement.Origin("senior", 1));
  }

  @Test
  public void anotherRelayIsQueriedIfTheCoordinatorDoesNotAnswer() throws Exception {
    addRelay("senior", false);
    addRelay("junior", true);
    assertEquals(place().origin(), new Placement.Origin("junior", 1));
  }

  @Test
  public void aCancelledPlacementIsNotAskedOfAnotherRelay() throws Exception {
    addRelay("senior", false);
    addRelay("junior", true);
    client.place(QUERY).cancel(false);
    place();
    assertEquals(questions.get(), 1, "the later placement alone is asked of it");
  }

  @Test
  public void aLateAnswerToACancelledPlacementIsNotCounted() throws Exception {
    addRelay("senior", false);
    AdvertisedRate none = new AdvertisedRate.Limited(0);
    rates.recordResponse("i-1", none, SystemTime.instance().monotonicMillis());
    client.place(QUERY).cancel(false);
    client.onAnswer("senior", new PlacementAnswer(1L, 1L, "i-1", null, 0L, null, null, 0L));
    assertEquals(uncounted, List.of());
  }

  /** The relay names the server alone, as it does not know its start. */
  @Test
  public void aServerThatWasTriedIsNotChosenAgainByARelayThatDoesNotKnowItsStart()
      throws Exception {
    addRelay("senior", true);
    String tried = "i-1@5";
    blackboard.backends().publish(BackendTable.EMPTY.with(List.of(backend(tried))), 0);
    PlacementQuery retry =
        new PlacementQuery("pool", "zone", null, null, List.of(), Set.of(tried), null, null);
    PlacementResult result = client.place(retry).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertTrue(result.placed().isEmpty(), result.toString());
  }

  private static Backend backend(String id) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
    return new Backend(id, "pool", address, "zone", 4, false, Map.of());
  }

  @Test
  public void theNodeDecidesIfNoRelayAnswers() throws Exception {
    addRelay("senior", false);
    addRelay("junior", false);
    assertNull(place().origin());
  }

  @Test
  public void aChoiceOnWeightsThatMayStillServeIsAccepted() throws Exception {
    addRelay("senior", true);
    setNewTargetVersion(0);
    Placement placement = place(QUERY_FOR_MODEL);
    assertEquals(placement.target().backend().id(), "i-1");
    assertEquals(placement.origin(), new Placement.Origin("senior", 1));
  }

  /** A relay that has just started does not know how long ago a target version was set. */
  @Test
  public void aChoiceOnWeightsThatThisNodeKnowsToBeOutdatedIsNotTaken() throws Exception {
    addRelay("senior", true);
    setNewTargetVersion(WEIGHTS_BOUND_MILLIS);
    Placement placement = place(QUERY_FOR_MODEL);
    assertEquals(placement.target().backend().id(), "i-2");
    assertNull(placement.origin());
  }

  /**
   * A relay of an earlier version does not know that a backend is draining, and one that has just
   * started may not know it yet.
   */
  @Test
  public void aDrainingChoiceOfARelayThatDoesNotKnowIsRejected() throws Exception {
    addRelay("senior", true);
    blackboard.backends().value().find("i-1").markDraining();
    Placement placement = place();
    assertEquals(placement.target().backend().id(), "i-2");
    assertNull(placement.origin());
    assertEquals(excluded, List.of("i-1"));
  }

  @Test
  public void aChoiceThatRequestedBackoffFromThisNodeIsRejected() throws Exception {
    addRelay("senior", true);
    long now = SystemTime.instance().monotonicMillis();
    blackboard.backends().value().find("i-1").backoff().extend(WEIGHTS_BOUND_MILLIS, now);
    assertEquals(place().target().backend().id(), "i-2");
    assertEquals(excluded, List.of("i-1"));
  }

  @Test
  public void ifAllBackendsRequestedBackoffTheWaitIsThatOfTheFirst() throws Exception {
    addRelay("senior", true);
    long now = SystemTime.instance().monotonicMillis();
    blackboard.backends().value().find("i-1").backoff().extend(2 * WEIGHTS_BOUND_MILLIS, now);
    blackboard.backends().value().find("i-2").backoff().extend(3_000, now);
    PlacementResult result = client.place(QUERY).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    long wait = ((PlacementResult.RetryLater) result).waitMillis();
    assertTrue(wait > 0 && wait <= 3_000, wait + " ms");
  }

  @Test
  public void theNodeDecidesIfThereIsNoRelay() throws Exception {
    assertNull(place().origin());
  }
}
