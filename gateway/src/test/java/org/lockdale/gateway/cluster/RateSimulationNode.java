package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lockdale.coordination.simulation.VirtualTime;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.quarantine.VirtualExecutor;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.protocol.generated.RateReport;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.SendCountReport;
import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;
import org.lockdale.protocol.generated.ShareReleased;

/**
 * A node of {@link RateSimulation} with all its incarnations: it elects relays and exchanges the
 * rates of backends.
 */
final class RateSimulationNode implements Time {

  private static final long TICK_MILLIS = 200;
  private static final long RELAY_TICK_MILLIS = 50;
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long UPKEEP_MILLIS = 500;
  private static final long MAX_PROOF_AGE_MILLIS = 2_000;
  private static final int PREFERRED_NODES = 6;

  /** The load balancer stops using a node that misses two checks. */
  private static final long UNREADY_MILLIS = 2_000;

  final String id;
  final PeerNode peer;
  private final RateSimulation simulation;
  private final VirtualTime time;
  private final RateSimulationRequests requests;
  private final boolean preferred;
  private final long clockOffset;
  private VirtualExecutor executor;
  private RelayElection election;
  private BackendRates rates;
  private RateExchange exchange;
  private long incarnation;
  private long frozenUntilMicros;
  private long partitionedAtMillis = Long.MAX_VALUE;
  private boolean servedBefore;
  boolean up;

  /** Whether the node runs an earlier version, which does not support rates. */
  boolean isEarlierVersion;

  /**
   * Network partition of the node: nodes of different groups cannot reach each other; 0 is the
   * group of all that are not isolated.
   */
  int group;

  RateSimulationNode(RateSimulation simulation, int index) {
    this.simulation = simulation;
    time = simulation.time;
    clockOffset = simulation.random.nextInt(1_000_000);
    requests = new RateSimulationRequests(simulation, this);
    id = "node-" + index;
    peer = new PeerNode(id, new InetSocketAddress("127.0.0.1", index + 1), 1);
    preferred = index < PREFERRED_NODES;
  }

  @Override
  public long monotonicMillis() {
    return time.monotonicMillis() + clockOffset;
  }

  @Override
  public long wallMillis() {
    return time.wallMillis();
  }

  void start() {
    up = true;
    incarnation++;
    executor = new FreezableExecutor(time, () -> frozenUntilMicros);
    election = new RelayElection(id, MAX_PROOF_AGE_MILLIS);
    rates = new BackendRates(this);
    exchange =
        new RateExchange(
            new RateExchange.Context(
                id,
                incarnation,
                executor,
                (receivers, message) -> simulation.send(this, receivers, message),
                () -> election.coordinator(monotonicMillis()),
                () -> election.isServing() && election.coordinator(monotonicMillis()).isEmpty(),
                () -> election.relays(monotonicMillis()),
                () -> simulation.peersOf(this),
                simulation.nodes::size,
                rates,
                monotonicMillis(),
                this));
    long first = simulation.random.nextInt((int) TICK_MILLIS);
    executor.schedule(this::tick, first, TimeUnit.MILLISECONDS);
    executor.scheduleAtFixedRate(this::heartbeat, first, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
    executor.scheduleAtFixedRate(this::runUpkeep, first, UPKEEP_MILLIS, TimeUnit.MILLISECONDS);
  }

  long incarnation() {
    return incarnation;
  }

  VirtualExecutor executor() {
    return executor;
  }

  RelayElection election() {
    return election;
  }

  BackendRates rates() {
    return rates;
  }

  RateExchange exchange() {
    return exchange;
  }

  RateSimulationRequests requests() {
    return requests;
  }

  boolean isServingRelay() {
    return up && election.isServing();
  }

  void kill() {
    up = false;
    executor.shutdown();
  }

  void restartAfter(long millis) {
    kill();
    time.schedule(millis * 1_000, this::start);
  }

  void freeze(long millis) {
    frozenUntilMicros = time.nowMicros() + millis * 1_000;
  }

  void partition(int newGroup) {
    group = newGroup;
    partitionedAtMillis = newGroup == 0 ? Long.MAX_VALUE : time.monotonicMillis();
  }

  private boolean isAwake() {
    return frozenUntilMicros <= time.nowMicros();
  }

  /** Runs an action when the node is awake: what arrives at a frozen node waits until it wakes. */
  void whenAwake(long ofIncarnation, Runnable action) {
    if (!up || incarnation != ofIncarnation) {
      return;
    }
    if (isAwake()) {
      action.run();
    } else {
      time.schedule(frozenUntilMicros - time.nowMicros(), () -> whenAwake(ofIncarnation, action));
    }
  }

  boolean acceptsCallers() {
    return up && isAwake() && time.monotonicMillis() - UNREADY_MILLIS < partitionedAtMillis;
  }

  private void tick() {
    election.tick(simulation.nodes.size(), preferred, monotonicMillis(), time.monotonicMillis());
    if (election.isServing() && !servedBefore) {
      heartbeat();
    }
    servedBefore = election.isServing();
    long pause = servedBefore ? RELAY_TICK_MILLIS : TICK_MILLIS;
    executor.schedule(this::tick, pause, TimeUnit.MILLISECONDS);
  }

  private void heartbeat() {
    if (!election.isServing()) {
      return;
    }
    RelayHeartbeat heartbeat =
        new RelayHeartbeat(
            election.servingSinceMillis(), false, incarnation, monotonicMillis(), 0.0, List.of());
    for (RateSimulationNode other : simulation.nodes) {
      if (other != this) {
        simulation.deliver(this, other, () -> other.onHeartbeat(this, heartbeat));
      }
    }
  }

  private void onHeartbeat(RateSimulationNode relay, RelayHeartbeat heartbeat) {
    election.onHeartbeat(
        relay.id,
        relay.peer.address(),
        heartbeat.getServingSince(),
        monotonicMillis(),
        monotonicMillis());
    if (!isEarlierVersion) {
      exchange.onHeartbeat(relay.id, relay.peer.address(), heartbeat);
    }
  }

  private void runUpkeep() {
    if (!isEarlierVersion) {
      rates.tick(simulation.recordedBackends());
      exchange.tick();
    }
  }

  void receive(RateSimulationNode sender, Object message) {
    if (isEarlierVersion) {
      return;
    }
    if (message instanceof RateReport report) {
      exchange.onReport(sender.id, report);
    } else if (message instanceof SendCountReport report) {
      exchange.onSendCounts(sender.id, report);
    } else if (message instanceof ShareLoan loan) {
      exchange.borrow(sender.id, loan);
    } else if (message instanceof ShareRecall recall) {
      exchange.onRecall(sender.id, sender.peer.address(), recall);
    } else if (message instanceof ShareReleased released) {
      exchange.onReleased(sender.id, released);
    }
  }
}
