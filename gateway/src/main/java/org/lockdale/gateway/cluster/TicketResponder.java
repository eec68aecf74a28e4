package org.lockdale.gateway.cluster;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lockdale.coordination.time.Time;
import org.lockdale.gateway.admission.AdmissionTerms;
import org.lockdale.gateway.admission.Ticket;
import org.lockdale.gateway.placement.PlacementQuery;
import org.lockdale.gateway.placement.PlacementResult;
import org.lockdale.protocol.generated.PlacementTicket;
import org.lockdale.protocol.generated.TicketCancelled;
import org.lockdale.protocol.generated.TicketHeld;
import org.lockdale.protocol.generated.TicketRefused;

/** Answers the tickets of other nodes at a relay. Confined to one event loop. */
public final class TicketResponder {

  /**
   * Maximum number of messages that a node gets in one review. A node that is told of some of its
   * tickets knows that the relay is alive; one message for each would fill the relay's link.
   */
  private static final int MAX_HELD_MESSAGES = 2;

  /** Time for which a placement can be taken back; it has expired afterwards. */
  private static final long PLACEMENT_MILLIS = 2_000;

  private record Placed(long placement, long atMillis) {}

  private final DatagramExchange datagrams;
  private final AdmissionController controller;
  private final AdmissionTimer timer;
  private final PlacementResponder placements;
  private final PeerLoads loads;
  private final Time time;
  private final Map<Ticket.Key, Placed> placed = new LinkedHashMap<>();
  private final Map<String, Integer> ticketsByNode = new HashMap<>();
  private final Map<String, Integer> heldMessages = new HashMap<>();

  /**
   * Number of reviews since the last message for a ticket. Reviews are skipped when the ticket's
   * node has received enough messages for other tickets.
   */
  private final Map<Ticket.Key, Integer> skippedReviews = new HashMap<>();

  /**
   * Creates a responder.
   *
   * @param datagrams sends the answers
   * @param admission admits requests to engines
   * @param placements sends placements
   * @param loads records the placements
   * @param time clock
   */
  public TicketResponder(
      DatagramExchange datagrams,
      AdmissionServices admission,
      PlacementResponder placements,
      PeerLoads loads,
      Time time) {
    this.datagrams = datagrams;
    this.controller = admission.controller();
    this.timer = admission.timer();
    this.placements = placements;
    this.loads = loads;
    this.time = time;
    admission.addReviewListener(this::onReview);
  }

  /** Processes a ticket. */
  void onTicket(String sender, InetSocketAddress address, PlacementTicket message) {
    PlacementQuery query = PlacementMessages.query(message);
    AdmissionTerms terms = query.terms();
    Ticket.Key key = new Ticket.Key(sender, message.getQuestion().getNumber());
    if (terms == null) {
      return;
    }
    controller.submit(
        key,
        query,
        terms,
        false,
        new AdmissionController.Listener() {
          @Override
          public void onResult(PlacementResult result) {
            skippedReviews.remove(key);
            if (result instanceof PlacementResult.Refused refused) {
              datagrams.sendTicketMessage(
                  List.of(address),
                  new TicketRefused(
                      key.number(), refused.retryAfterMillis(), refused.forecastMillis()));
              return;
            }
            long placement = placements.reply(sender, address, message.getQuestion(), result);
            if (placement > 0) {
              forgetExpired();
              placed.put(key, new Placed(placement, time.monotonicMillis()));
            }
          }

          @Override
          public void onHeld(int position, long expectedMillis) {
            sendHeld(key, address, new TicketHeld(key.number(), position, expectedMillis));
          }
        });
    timer.onSubmitted();
  }

  private void sendHeld(Ticket.Key key, InetSocketAddress address, TicketHeld held) {
    boolean isNew = !skippedReviews.containsKey(key);
    int messages = heldMessages.getOrDefault(key.node(), 0);
    int skipped = skippedReviews.getOrDefault(key, 0);
    // A node that receives no message for any of its tickets considers the relay failed, so the
    // first message of a review is always sent. Others are sent for the tickets in turn.
    boolean isDue = messages == 0 || skipped >= maxSkippedReviews(key.node());
    if (isNew || messages < MAX_HELD_MESSAGES && isDue) {
      skippedReviews.put(key, 0);
      heldMessages.merge(key.node(), 1, Integer::sum);
      datagrams.sendTicketMessage(List.of(address), held);
    } else {
      skippedReviews.put(key, skipped + 1);
    }
  }

  /** Returns for how many reviews each ticket of a node is skipped between two messages. */
  private int maxSkippedReviews(String node) {
    int tickets = ticketsByNode.getOrDefault(node, 0);
    return Math.max(0, (tickets - 1) / MAX_HELD_MESSAGES);
  }

  private void onReview() {
    heldMessages.clear();
    skippedReviews.keySet().removeIf(key -> !controller.isWaiting(key));
    ticketsByNode.clear();
    skippedReviews.keySet().forEach(key -> ticketsByNode.merge(key.node(), 1, Integer::sum));
    forgetExpired();
  }

  private void forgetExpired() {
    long now = time.monotonicMillis();
    Iterator<Placed> all = placed.values().iterator();
    while (all.hasNext() && now - all.next().atMillis() > PLACEMENT_MILLIS) {
      all.remove();
    }
  }

  /** Processes the withdrawal of tickets. */
  void onCancelled(String sender, TicketCancelled message) {
    for (long number : message.getNumbers()) {
      Ticket.Key key = new Ticket.Key(sender, number);
      controller.cancel(key);
      skippedReviews.remove(key);
      Placed unused = placed.remove(key);
      if (unused != null) {
        loads.dropPlacement(sender, unused.placement());
      }
    }
  }
}
