package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.Collection;
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
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.gateway.rate.NodeRun;
import org.lockdale.protocol.Message;
import org.lockdale.protocol.generated.RateRecord;
import org.lockdale.protocol.generated.RateReport;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.SendCountRecord;
import org.lockdale.protocol.generated.SendCountReport;
import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;
import org.lockdale.protocol.generated.ShareReleased;

/**
 * Keeps the total of all nodes' requests within the rates that backends advertise. Each node
 * reports the rates that it reads from responses to the relays, the nodes elected to decide for
 * others, and lends its share of all rates to the coordinator, the relay that places its requests.
 * The coordinator broadcasts changed rates to all nodes. Sends nothing while no backend advertises
 * a rate, except for one question when the node has started. Rates read from responses may be
 * passed in on any thread; everything else runs on one event loop.
 */
public final class RateExchange implements ShareBorrower, UncountedPlacementListener {

  /** Rates read within this time go into one message. */
  private static final long BATCH_MILLIS = 10;

  /** Maximum number of rates waiting to be reported; responses of rate-limited backends are few. */
  private static final int MAX_PENDING_OBSERVATIONS = 1_024;

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

  private final Context context;
  private final LoanSender loanSender;
  private final RateReportSender reportSender;
  private final RateBroadcaster broadcaster;
  private final SendCountReporter sendCounts;
  private final KnownRateSender knownRates;
  private final Queue<RateObservation> pendingObservations = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean sendScheduled = new AtomicBoolean();
  private final Map<String, LoanSender.Relay> latestHeartbeats = new HashMap<>();

  /**
   * Nodes that have sent a rate report, which shows that they count placements against rates. A
   * node of an earlier version never sends one. A relay that restarts is removed until it sends one
   * again.
   */
  private final Set<String> rateAwareNodes = ConcurrentHashMap.newKeySet();

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
    this.reportSender = new RateReportSender(context.sender(), context.time());
    this.broadcaster = new RateBroadcaster(context, reportSender);
    this.sendCounts = new SendCountReporter(context);
    this.knownRates = new KnownRateSender(context, reportSender);
    context.rates().setListener(this::onRateReceived);
  }

  @Override
  public void onUncountedPlacement(String relay, String backend) {
    context.executor().execute(() -> knownRates.tellRate(relay, backend));
  }

  private void onRateReceived(
      String backend, AdvertisedRate rate, long sentAt, long receivedAt, boolean isChange) {
    RateObservation observation = new RateObservation(backend, rate, sentAt, receivedAt);
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
    Map<List<Object>, RateObservation> latest = new LinkedHashMap<>();
    for (RateObservation next = pendingObservations.poll();
        next != null;
        next = pendingObservations.poll()) {
      latest.put(List.of(next.backend(), next.rate()), next);
    }
    reportSender.send(
        context.relays().get().stream().map(RelayElection.Relay::address).toList(),
        List.copyOf(latest.values()));
  }

  /** Processes the rates that another node reports. */
  void onReport(String sender, RateReport report) {
    rateAwareNodes.add(sender);
    if (report.getRates().isEmpty()) {
      knownRates.answer(sender);
    }
    long now = context.time().monotonicMillis();
    for (RateRecord record : report.getRates()) {
      RateObservation observation = RateObservation.of(record, now);
      if (context
          .rates()
          .recordReport(
              sender,
              observation.backend(),
              observation.rate(),
              observation.sentAtMillis(),
              observation.receivedAtMillis())) {
        onRateChanged(observation);
      } else {
        knownRates.tellEnd(sender, observation);
      }
    }
    lendShare();
  }

  /** Processes the numbers of requests to backends with rates that another node reports. */
  void onSendCounts(String sender, SendCountReport report) {
    NodeRun node = new NodeRun(sender, report.getLife());
    for (SendCountRecord record : report.getCounts()) {
      context.rates().recordSentCount(node, record.getEngine(), record.getCount());
    }
  }

  private void onRateChanged(RateObservation observation) {
    lendShare();
    if (context.coordinator().get().isPresent()) {
      return;
    }
    broadcaster.broadcast(observation);
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
    if (!rateAwareNodes.contains(relay)) {
      knownRates.tellRelay(relay, address, heartbeat.getLife());
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
    sendCounts.report();
    if (context.isCoordinator().getAsBoolean() && context.rates().isAnyLimited()) {
      knownRates.tellNonLenders();
    }
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
