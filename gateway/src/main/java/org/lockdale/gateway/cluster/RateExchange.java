package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.backend.AdvertisedRate;
import org.lockdale.gateway.limit.ShareLender;
import org.lockdale.gateway.rate.AdvertisedRates;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.protocol.Message;
import org.lockdale.protocol.generated.RateRecord;
import org.lockdale.protocol.generated.RateReport;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;
import org.lockdale.protocol.generated.ShareReleased;

/**
 * Keeps the total of all nodes' requests within the rates that backends advertise. Each node
 * reports the rates that it reads from responses to the relays, the nodes elected to decide for
 * others, and lends its share of all rates to the coordinator, the relay that places its requests.
 * The coordinator broadcasts changed rates to all nodes. Sends nothing while no backend advertises
 * a rate. Rates read from responses may be passed in on any thread; everything else runs on one
 * event loop.
 */
public final class RateExchange implements ShareBorrower, PeerRateSupport {

  /** Rates read within this time go into one message. */
  private static final long BATCH_MILLIS = 10;

  /** Shortest time between two broadcasts, since a rate may change with each response. */
  private static final long BROADCAST_INTERVAL_MILLIS = 200;

  /**
   * Maximum number of nodes that a broadcast reaches if there is no coordinator to inform all of
   * them.
   */
  private static final int MAX_RECEIVERS_WITHOUT_COORDINATOR = 16;

  private static final int RECEIVER_OFFSET_SPREAD = 1_024;

  /** Maximum number of records in one message, so that it fits into a datagram. */
  private static final int MAX_RECORDS_IN_MESSAGE = 16;

  /** Maximum number of rates waiting to be reported; responses of rate-limited backends are few. */
  private static final int MAX_PENDING_OBSERVATIONS = 1_024;

  /**
   * Longest assumed transit time of a message. The receiver derives times from the ages in a
   * message, so they appear later than they were by the transit time; this is subtracted from send
   * times.
   */
  private static final long MAX_TRANSIT_MILLIS = 200;

  /**
   * Dependencies of an exchange.
   *
   * @param selfId id of this node
   * @param incarnation identifies this run of the node's process
   * @param executor runs the exchange, one task at a time
   * @param sender sends a message to several nodes
   * @param coordinator supplies the relay that places requests, or empty if this node does so
   *     itself
   * @param isCoordinator whether this node is the relay that places the requests of all nodes
   * @param relays supplies the other relays that place requests
   * @param peers supplies the other nodes
   * @param nodes supplies the number of nodes, or 0 while it is unknown
   * @param rates rates of backends that are known to this node
   * @param startedAtMillis monotonic time at which the process started
   * @param time clock
   */
  public record Context(
      String selfId,
      long incarnation,
      ScheduledExecutorService executor,
      BiConsumer<List<InetSocketAddress>, Message> sender,
      Supplier<Optional<RelayElection.Relay>> coordinator,
      BooleanSupplier isCoordinator,
      Supplier<List<RelayElection.Relay>> relays,
      Supplier<? extends Collection<PeerNode>> peers,
      IntSupplier nodes,
      BackendRates rates,
      long startedAtMillis,
      Time time) {}

  private record Observation(
      String backend, AdvertisedRate rate, long sentAtMillis, long receivedAtMillis) {}

  private final Context context;
  private final LoanSender loanSender;
  private final Queue<Observation> pendingObservations = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean sendScheduled = new AtomicBoolean();
  private final Map<String, LoanSender.Relay> latestHeartbeats = new HashMap<>();

  /**
   * Nodes that have sent a rate report, which shows that they count placements against rates. A
   * node of an earlier version never sends one. A relay that restarts is removed until it sends one
   * again.
   */
  private final Set<String> rateAwareNodes = ConcurrentHashMap.newKeySet();

  /** The latest changed rate of each backend that is still to be broadcast. */
  private final Map<String, Observation> pendingBroadcast = new HashMap<>();

  private boolean broadcastScheduled;

  /** Index of the first receiver of the next partial broadcast; nodes start at different ones. */
  private int nextReceiver;

  /** Creates an exchange, which receives the rates read from responses from now on. */
  public RateExchange(Context context) {
    this.context = context;
    this.loanSender =
        new LoanSender(
            new LoanSender.Context(
                context.selfId(),
                context.executor(),
                (address, message) -> context.sender().accept(List.of(address), message),
                this,
                context.nodes(),
                context.startedAtMillis(),
                context.time()),
            false,
            this::lendShare);
    this.nextReceiver = Math.floorMod(context.selfId().hashCode(), RECEIVER_OFFSET_SPREAD);
    context.rates().setListener(this::onRateReceived);
  }

  @Override
  public boolean supportsRates(String node) {
    return rateAwareNodes.contains(node);
  }

  @Override
  public void onUncountedPlacement(String relay, String backend) {
    context.executor().execute(() -> sendKnownRate(relay, backend));
  }

  private void sendKnownRate(String relay, String backend) {
    List<Observation> known =
        context
            .rates()
            .advertisedRate(backend)
            .map(advertised -> observationOf(backend, advertised))
            .stream()
            .toList();
    for (RelayElection.Relay each : context.relays().get()) {
      if (each.id().equals(relay)) {
        send(List.of(each.address()), known);
      }
    }
  }

  private void onRateReceived(
      String backend, AdvertisedRate rate, long sentAt, long receivedAt, boolean isChange) {
    Observation observation = new Observation(backend, rate, sentAt, receivedAt);
    if (pendingObservations.size() < MAX_PENDING_OBSERVATIONS) {
      pendingObservations.add(observation);
    }
    if (sendScheduled.compareAndSet(false, true)) {
      context.executor().schedule(this::sendToRelays, BATCH_MILLIS, TimeUnit.MILLISECONDS);
    }
    if (isChange) {
      context.executor().execute(() -> onRateChanged(observation));
    }
  }

  private void sendToRelays() {
    sendScheduled.set(false);
    Map<List<Object>, Observation> latest = new LinkedHashMap<>();
    for (Observation next = pendingObservations.poll();
        next != null;
        next = pendingObservations.poll()) {
      latest.put(List.of(next.backend(), next.rate()), next);
    }
    send(
        context.relays().get().stream().map(RelayElection.Relay::address).toList(),
        List.copyOf(latest.values()));
  }

  /** Processes the rates that another node reports. */
  void onReport(String sender, RateReport report) {
    rateAwareNodes.add(sender);
    long now = context.time().monotonicMillis();
    for (RateRecord record : report.getRates()) {
      Double perSecond = record.getPerSecond();
      Observation observation =
          new Observation(
              record.getEngine(),
              perSecond == null ? AdvertisedRate.NONE : new AdvertisedRate.Limited(perSecond),
              now - record.getSentAgoMillis() - MAX_TRANSIT_MILLIS,
              now - record.getHeardAgoMillis());
      if (context
          .rates()
          .recordReport(
              sender,
              observation.backend(),
              observation.rate(),
              observation.sentAtMillis(),
              observation.receivedAtMillis())) {
        onRateChanged(observation);
      }
    }
    lendShare();
  }

  private void onRateChanged(Observation observation) {
    lendShare();
    if (context.coordinator().get().isPresent()) {
      return;
    }
    pendingBroadcast.put(observation.backend(), observation);
    if (!broadcastScheduled) {
      broadcast();
    }
  }

  /** Broadcasts pending changes, and schedules a broadcast of those that follow meanwhile. */
  private void broadcast() {
    broadcastScheduled = !pendingBroadcast.isEmpty();
    if (broadcastScheduled) {
      send(addresses(broadcastReceivers()), List.copyOf(pendingBroadcast.values()));
      pendingBroadcast.clear();
      context
          .executor()
          .schedule(this::broadcast, BROADCAST_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Returns the receivers of a broadcast. Without a coordinator every node places its own requests
   * and broadcasts; messages from each node to each other would overload them, so each broadcast
   * goes to the next few nodes in turn.
   */
  private List<PeerNode> broadcastReceivers() {
    List<PeerNode> peers = new ArrayList<>(context.peers().get());
    if (context.isCoordinator().getAsBoolean()
        || peers.size() <= MAX_RECEIVERS_WITHOUT_COORDINATOR) {
      return peers;
    }
    Collections.rotate(peers, nextReceiver);
    nextReceiver = (nextReceiver + MAX_RECEIVERS_WITHOUT_COORDINATOR) % peers.size();
    return peers.subList(0, MAX_RECEIVERS_WITHOUT_COORDINATOR);
  }

  private static List<InetSocketAddress> addresses(Collection<PeerNode> nodes) {
    return nodes.stream().map(PeerNode::address).toList();
  }

  private void send(List<InetSocketAddress> receivers, List<Observation> observations) {
    long now = context.time().monotonicMillis();
    for (int from = 0; from < observations.size(); from += MAX_RECORDS_IN_MESSAGE) {
      int until = Math.min(observations.size(), from + MAX_RECORDS_IN_MESSAGE);
      List<RateRecord> records = new ArrayList<>();
      observations
          .subList(from, until)
          .forEach(observation -> records.add(record(observation, now)));
      context.sender().accept(receivers, new RateReport(records));
    }
  }

  private static RateRecord record(Observation observation, long nowMillis) {
    Double perSecond =
        observation.rate() instanceof AdvertisedRate.Limited limited ? limited.perSecond() : null;
    return new RateRecord(
        observation.backend(),
        perSecond,
        nowMillis - observation.sentAtMillis(),
        nowMillis - observation.receivedAtMillis());
  }

  /**
   * Processes a heartbeat, and answers it with a loan if its sender places this node's requests.
   */
  void onHeartbeat(String relay, InetSocketAddress address, RelayHeartbeat heartbeat) {
    long now = context.time().monotonicMillis();
    LoanSender.Relay before =
        latestHeartbeats.put(
            relay,
            new LoanSender.Relay(
                address,
                new ShareLender.Heartbeat(relay, heartbeat.getLife(), heartbeat.getSentAt(), now),
                0));
    if (before != null && before.heartbeat().incarnation() != heartbeat.getLife()) {
      rateAwareNodes.remove(relay);
    }
    lendShare();
  }

  /**
   * Lends this node's share to the coordinator if that one counts placements against rates, else to
   * this node itself. A node that places requests counts them against the shares that it holds.
   */
  private void lendShare() {
    if (!context.rates().isAnyLimited()) {
      return;
    }
    LoanSender.Relay relay =
        context
            .coordinator()
            .get()
            .filter(elected -> rateAwareNodes.contains(elected.id()))
            .map(elected -> latestHeartbeats.get(elected.id()))
            .orElse(null);
    if (relay == null) {
      loanSender.lendToSelf();
    } else {
      loanSender.lendTo(relay);
    }
  }

  /**
   * Renews the loan of this node's share and, on the coordinator, informs nodes that do not lend
   * theirs; to be called periodically.
   */
  public void tick() {
    lendShare();
    if (context.isCoordinator().getAsBoolean() && context.rates().isAnyLimited()) {
      sendToNonLenders();
    }
  }

  /**
   * Sends all known rates to the nodes that do not lend their share: they have received no rate yet
   * or have just restarted.
   */
  private void sendToNonLenders() {
    List<PeerNode> nonLenders = new ArrayList<>();
    for (PeerNode peer : context.peers().get()) {
      if (!context.rates().isLentBy(peer.id())) {
        nonLenders.add(peer);
      }
    }
    List<Observation> known = new ArrayList<>();
    context.rates().limited().forEach((backend, rate) -> known.add(observationOf(backend, rate)));
    send(addresses(nonLenders), known);
  }

  private static Observation observationOf(String backend, AdvertisedRates.Observation rate) {
    return new Observation(
        backend,
        new AdvertisedRate.Limited(rate.perSecond()),
        rate.sentAtMillis(),
        rate.receivedAtMillis());
  }

  @Override
  public long incarnation() {
    return context.incarnation();
  }

  @Override
  public void borrow(String node, ShareLoan loan) {
    if (loan.getLife() == context.incarnation()) {
      context.rates().lent(node, loan.getShare(), loan.getSentAt() + ShareLender.TERM_MILLIS);
    }
  }

  @Override
  public void release(String node, ShareRecall recall) {
    context.rates().release(node, recall.getSentAt() + ShareLender.TERM_MILLIS);
  }

  /** Stops using the share of a node and notifies the node. */
  void onRecall(String node, InetSocketAddress address, ShareRecall recall) {
    if (recall.getLife() == context.incarnation()) {
      release(node, recall);
      ShareReleased released = new ShareReleased(context.incarnation(), recall.getSentAt(), false);
      context.sender().accept(List.of(address), released);
    }
  }

  /** Processes the message that a relay no longer uses this node's share. */
  void onReleased(String relay, ShareReleased released) {
    loanSender.onReleased(relay, released);
  }
}
