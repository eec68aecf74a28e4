package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.lockdale.gateway.backend.AdvertisedRate;
import org.lockdale.protocol.generated.RateReport;

/**
 * Tells the rates that this node knows to nodes that may not know them, as they have just started
 * or have missed a message, and asks for them once when this node has started. Runs on the executor
 * of its {@link RateExchange}.
 */
final class KnownRateSender {

  /** Interval at which a node that has started checks whether others are known to it. */
  private static final long PEER_POLL_MILLIS = 100;

  /** Number of nodes that are asked, as some may have just started as well. */
  private static final int MAX_ASKED = 8;

  /**
   * How often a run of a relay is told, unless it shows before that it takes rates into account.
   */
  private static final int MAX_TELLS = 3;

  private record Told(long incarnation, int times) {}

  private final RateExchange.Context context;
  private final RateReportSender sender;
  private final Map<String, Told> toldRelays = new HashMap<>();

  KnownRateSender(RateExchange.Context context, RateReportSender sender) {
    this.context = context;
    this.sender = sender;
    context.executor().execute(this::ask);
  }

  /** Asks other nodes for the rates that they know, as soon as any are known. */
  private void ask() {
    List<PeerNode> peers = new ArrayList<>(context.peers().get());
    if (peers.isEmpty()) {
      context.executor().schedule(this::ask, PEER_POLL_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    Collections.rotate(peers, context.selfId().hashCode() % peers.size());
    List<InetSocketAddress> asked =
        peers.subList(0, Math.min(MAX_ASKED, peers.size())).stream()
            .map(PeerNode::address)
            .toList();
    // A report without rates shows that its sender knows none.
    context.sender().accept(asked, new RateReport(List.of()));
  }

  /** Answers a node that knows no rates. */
  void answer(String node) {
    for (PeerNode peer : context.peers().get()) {
      if (peer.id().equals(node)) {
        sender.send(List.of(peer.address()), known());
      }
    }
  }

  /** Tells a relay that has not shown in this run that it takes rates into account. */
  void tellRelay(String relay, InetSocketAddress address, long incarnation) {
    Told told = toldRelays.get(relay);
    int times = told == null || told.incarnation() != incarnation ? 0 : told.times();
    List<RateObservation> known = known();
    if (times < MAX_TELLS && !known.isEmpty()) {
      toldRelays.put(relay, new Told(incarnation, times + 1));
      sender.send(List.of(address), known);
    }
  }

  /** Tells a relay the rate of one backend. */
  void tellRate(String relay, String backend) {
    context
        .rates()
        .advertisedRate(backend)
        .map(rate -> RateObservation.of(backend, rate))
        .ifPresent(
            observation ->
                context.relays().get().stream()
                    .filter(each -> each.id().equals(relay))
                    .forEach(each -> sender.send(List.of(each.address()), List.of(observation))));
  }

  /**
   * Tells the sender of an outdated rate that the rate has ended, if it has.
   *
   * @param node id of the sender
   * @param outdated the rate that it reported, which changed nothing here
   */
  void tellEnd(String node, RateObservation outdated) {
    if (!(outdated.rate() instanceof AdvertisedRate.Limited)) {
      return;
    }
    context
        .rates()
        .endOf(outdated.backend())
        .map(end -> RateObservation.of(outdated.backend(), end))
        .ifPresent(
            end ->
                context.peers().get().stream()
                    .filter(peer -> peer.id().equals(node))
                    .forEach(peer -> sender.send(List.of(peer.address()), List.of(end))));
  }

  /** Tells the nodes that do not lend their share, as they have not received any rate yet. */
  void tellNonLenders() {
    List<InetSocketAddress> nonLenders = new ArrayList<>();
    for (PeerNode peer : context.peers().get()) {
      if (!context.rates().isLentBy(peer.id())) {
        nonLenders.add(peer.address());
      }
    }
    sender.send(nonLenders, known());
  }

  private List<RateObservation> known() {
    List<RateObservation> known = new ArrayList<>();
    context
        .rates()
        .limited()
        .forEach((backend, rate) -> known.add(RateObservation.of(backend, rate)));
    return known;
  }
}
