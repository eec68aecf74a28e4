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
import org.lockdale.gateway.backend.RateStatement;
import org.lockdale.gateway.limit.ShareLender;
import org.lockdale.gateway.rate.BackendRates;
import org.lockdale.gateway.rate.StatedRates;
import org.lockdale.protocol.Message;
import org.lockdale.protocol.generated.RateRecord;
import org.lockdale.protocol.generated.RateReport;
import org.lockdale.protocol.generated.RelayHeartbeat;
import org.lockdale.protocol.generated.ShareLoan;
import org.lockdale.protocol.generated.ShareRecall;
import org.lockdale.protocol.generated.ShareReleased;

/**
 * Keeps the requests of all nodes within the rates that back ends name. A node tells the relays
 * what its answers say, and lends its share of all rates to the relay that places its requests; the
 * relay that places for all tells the others what is new. Sends nothing while no back end names a
 * rate. What this node hears may be told from any thread; the rest runs on one event loop.
 */
public final class RateExchange implements ShareBorrower, RateKnowledge {

  /** What is heard within this time goes into one message. */
  private static final long GATHER_MILLIS = 10;

  /** All nodes are told this seldom, since a rate may change with each answer. */
  private static final long TELL_ALL_MILLIS = 200;

  /** Nodes that are told where there is no relay, which tells all. */
  private static final int MAX_TOLD_WITHOUT_RELAY = 16;

  private static final int FIRST_TOLD_SPREAD = 1_024;

  /** Records in one message, so that it fits into a datagram. */
  private static final int MAX_RECORDS_IN_MESSAGE = 16;

  /** Answers that wait to be told; those of limited back ends are few. */
  private static final int MAX_HEARD = 1_024;

  /**
   * How long a message may have been under way, by which its times may seem later than they are.
   */
  private static final long MAX_TRANSIT_MILLIS = 200;

  /**
   * Where a node finds what it needs.
   *
   * @param selfId id of this node
   * @param life tells the lives of this node apart
   * @param executor runs the exchange, one task at a time
   * @param sender sends a message to nodes
   * @param coordinator the relay that places requests, or empty where this node does so itself
   * @param placesForAll whether this node is the relay that places the requests of all
   * @param relays the other relays that can be relied on
   * @param peers the other nodes
   * @param nodes tells the number of nodes, or 0 where it is not known yet
   * @param rates what this node knows of rates
   * @param startedAtMillis monotonic time at which the process began
   * @param time clock
   */
  public record Context(
      String selfId,
      long life,
      ScheduledExecutorService executor,
      BiConsumer<List<InetSocketAddress>, Message> sender,
      Supplier<Optional<RelayElection.Relay>> coordinator,
      BooleanSupplier placesForAll,
      Supplier<List<RelayElection.Relay>> relays,
      Supplier<? extends Collection<PeerNode>> peers,
      IntSupplier nodes,
      BackendRates rates,
      long startedAtMillis,
      Time time) {}

  private record Heard(
      String backend, RateStatement statement, long sentAtMillis, long heardAtMillis) {}

  private final Context context;
  private final LoanSender shares;
  private final Queue<Heard> heard = new ConcurrentLinkedQueue<>();
  private final AtomicBoolean gathering = new AtomicBoolean();
  private final Map<String, LoanSender.Relay> heartbeats = new HashMap<>();

  /** Nodes whose build counts what it places; those of an earlier version never say a word. */
  private final Set<String> keepers = ConcurrentHashMap.newKeySet();

  /** News that all nodes are to be told, the latest of each back end. */
  private final Map<String, Heard> news = new HashMap<>();

  private boolean tellingAll;

  /** Place among the peers of the one that is told first; nodes begin at different ones. */
  private int firstTold;

  /** Creates an exchange; it hears of answers from now on. */
  public RateExchange(Context context) {
    this.context = context;
    this.shares =
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
            this::lend);
    this.firstTold = Math.floorMod(context.selfId().hashCode(), FIRST_TOLD_SPREAD);
    context.rates().tell(this::heard);
  }

  @Override
  public boolean knowsRates(String node) {
    return keepers.contains(node);
  }

  @Override
  public void uncounted(String relay, String backend) {
    context.executor().execute(() -> tell(relay, backend));
  }

  private void tell(String relay, String backend) {
    List<Heard> known =
        context.rates().named(backend).map(named -> heardOf(backend, named)).stream().toList();
    for (RelayElection.Relay each : context.relays().get()) {
      if (each.id().equals(relay)) {
        send(List.of(each.address()), known);
      }
    }
  }

  private void heard(
      String backend, RateStatement statement, long sentAt, long heardAt, boolean isNews) {
    Heard answer = new Heard(backend, statement, sentAt, heardAt);
    if (heard.size() < MAX_HEARD) {
      heard.add(answer);
    }
    if (gathering.compareAndSet(false, true)) {
      context.executor().schedule(this::tellRelays, GATHER_MILLIS, TimeUnit.MILLISECONDS);
    }
    if (isNews) {
      context.executor().execute(() -> isNews(answer));
    }
  }

  private void tellRelays() {
    gathering.set(false);
    Map<List<Object>, Heard> latest = new LinkedHashMap<>();
    for (Heard next = heard.poll(); next != null; next = heard.poll()) {
      latest.put(List.of(next.backend(), next.statement()), next);
    }
    send(
        context.relays().get().stream().map(RelayElection.Relay::address).toList(),
        List.copyOf(latest.values()));
  }

  /** Takes in what another node tells. */
  void told(String sender, RateReport report) {
    keepers.add(sender);
    long now = context.time().monotonicMillis();
    for (RateRecord record : report.getRates()) {
      Double perSecond = record.getPerSecond();
      Heard answer =
          new Heard(
              record.getEngine(),
              perSecond == null ? RateStatement.NONE : new RateStatement.Limited(perSecond),
              now - record.getSentAgoMillis() - MAX_TRANSIT_MILLIS,
              now - record.getHeardAgoMillis());
      if (context
          .rates()
          .told(
              sender,
              answer.backend(),
              answer.statement(),
              answer.sentAtMillis(),
              answer.heardAtMillis())) {
        isNews(answer);
      }
    }
    lend();
  }

  private void isNews(Heard answer) {
    lend();
    if (context.coordinator().get().isPresent()) {
      return;
    }
    news.put(answer.backend(), answer);
    if (!tellingAll) {
      tellAll();
    }
  }

  /** Tells all at once, and what is new until then some time later. */
  private void tellAll() {
    tellingAll = !news.isEmpty();
    if (tellingAll) {
      send(addresses(listeners()), List.copyOf(news.values()));
      news.clear();
      context.executor().schedule(this::tellAll, TELL_ALL_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Where there is no relay each node places by itself, and were each to tell all, none could
   * listen; so they tell some, others each time.
   */
  private List<PeerNode> listeners() {
    List<PeerNode> peers = new ArrayList<>(context.peers().get());
    if (context.placesForAll().getAsBoolean() || peers.size() <= MAX_TOLD_WITHOUT_RELAY) {
      return peers;
    }
    Collections.rotate(peers, firstTold);
    firstTold = (firstTold + MAX_TOLD_WITHOUT_RELAY) % peers.size();
    return peers.subList(0, MAX_TOLD_WITHOUT_RELAY);
  }

  private static List<InetSocketAddress> addresses(Collection<PeerNode> nodes) {
    return nodes.stream().map(PeerNode::address).toList();
  }

  private void send(List<InetSocketAddress> receivers, List<Heard> answers) {
    long now = context.time().monotonicMillis();
    for (int from = 0; from < answers.size(); from += MAX_RECORDS_IN_MESSAGE) {
      int until = Math.min(answers.size(), from + MAX_RECORDS_IN_MESSAGE);
      List<RateRecord> records = new ArrayList<>();
      answers.subList(from, until).forEach(answer -> records.add(record(answer, now)));
      context.sender().accept(receivers, new RateReport(records));
    }
  }

  private static RateRecord record(Heard answer, long nowMillis) {
    Double perSecond =
        answer.statement() instanceof RateStatement.Limited limited ? limited.perSecond() : null;
    return new RateRecord(
        answer.backend(),
        perSecond,
        nowMillis - answer.sentAtMillis(),
        nowMillis - answer.heardAtMillis());
  }

  /** Takes in a heartbeat, and answers it where its sender places this node's requests. */
  void heard(String relay, InetSocketAddress address, RelayHeartbeat heartbeat) {
    long now = context.time().monotonicMillis();
    LoanSender.Relay before =
        heartbeats.put(
            relay,
            new LoanSender.Relay(
                address,
                new ShareLender.Heartbeat(relay, heartbeat.getLife(), heartbeat.getSentAt(), now),
                0));
    if (before != null && before.heartbeat().life() != heartbeat.getLife()) {
      keepers.remove(relay);
    }
    lend();
  }

  /** Each node that places requests by itself, or for others, counts by the shares that it has. */
  private void lend() {
    if (!context.rates().isAnyLimited()) {
      return;
    }
    LoanSender.Relay relay =
        context
            .coordinator()
            .get()
            .filter(elected -> keepers.contains(elected.id()))
            .map(elected -> heartbeats.get(elected.id()))
            .orElse(null);
    if (relay == null) {
      shares.lendToSelf();
    } else {
      shares.lendTo(relay);
    }
  }

  /** To be called from time to time. */
  public void tick() {
    lend();
    if (context.placesForAll().getAsBoolean() && context.rates().isAnyLimited()) {
      remind();
    }
  }

  /** Nodes that don't lend have not heard of any rate, or have just started. */
  private void remind() {
    List<PeerNode> silent = new ArrayList<>();
    for (PeerNode peer : context.peers().get()) {
      if (!context.rates().isLentBy(peer.id())) {
        silent.add(peer);
      }
    }
    List<Heard> known = new ArrayList<>();
    context
        .rates()
        .limited()
        .forEach((backend, statement) -> known.add(heardOf(backend, statement)));
    send(addresses(silent), known);
  }

  private static Heard heardOf(String backend, StatedRates.Statement statement) {
    return new Heard(
        backend,
        new RateStatement.Limited(statement.perSecond()),
        statement.sentAtMillis(),
        statement.heardAtMillis());
  }

  @Override
  public long life() {
    return context.life();
  }

  @Override
  public void borrow(String node, ShareLoan loan) {
    if (loan.getLife() == context.life()) {
      context.rates().lent(node, loan.getShare(), loan.getSentAt() + ShareLender.TERM_MILLIS);
    }
  }

  @Override
  public void release(String node, ShareRecall recall) {
    context.rates().release(node, recall.getSentAt() + ShareLender.TERM_MILLIS);
  }

  /** Gives the share of a node back, and tells it so. */
  void release(String node, InetSocketAddress address, ShareRecall recall) {
    if (recall.getLife() == context.life()) {
      release(node, recall);
      ShareReleased released = new ShareReleased(context.life(), recall.getSentAt(), false);
      context.sender().accept(List.of(address), released);
    }
  }

  /** Takes in that a relay no longer uses this node's share. */
  void released(String relay, ShareReleased released) {
    shares.released(relay, released);
  }
}
